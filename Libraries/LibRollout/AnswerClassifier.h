#pragma once

#include <LibBase/Time.h>
#include <LibRollout/AnswerSample.h>
#include <array>
#include <cstddef>
#include <map>

namespace Stagepost {

// Decides which answers of a service are bad: failures, and answers that are slow compared with
// the old version's answers of the same class. The same rule applies to the answers of both versions, so
// a wrong threshold makes the comparison weaker but not unfair.
class AnswerClassifier {
public:
    struct Bounds {
        // An answer is slow if one of its times exceeds the old version's typical time by this factor.
        double slowFactor { 2.5 };
        // And delays the caller by this time in total: within a few milliseconds, times differ by how the daemon's
        // machine schedules its processes.
        Microseconds minDelay { 10000 };
        // Without this many answers of the old version in the class, times are not judged. A daemon
        // with 14 requests a second on 5 routes has these after 3 s, and 20 only after 7 s.
        size_t minSamples { 8 };
        // An upstream that crashes breaks all its answers at once, so only one broken answer is
        // counted in this time.
        Microseconds brokenInterval { 1000000 };
    };

    enum class Verdict : uint8_t {
        Good,
        Failed,
        Slow,
        NotCounted,
    };

    explicit AnswerClassifier(Bounds bounds)
        : m_bounds(bounds)
    {
    }

    // Judges an answer. The times of the old version's answers are also learned, which must begin before an
    // order, since a daemon sees few answers of each class.
    Verdict classify(AnswerSample const&, bool isOldVersion, Instant now);

private:
    // The latest times of the old version.
    class RecentTimes {
    public:
        void add(double seconds);
        double median() const { return m_median; }
        double ninthDecile() const { return m_ninthDecile; }
        size_t samples() const { return m_samples; }

    private:
        static constexpr size_t windowSize = 64;
        std::array<double, windowSize> m_recent {};
        size_t m_samples { 0 };
        double m_median { 0 };
        double m_ninthDecile { 0 };
    };
    struct Class {
        RouteId route;
        bool isContextNew { false };
        auto operator<=>(Class const&) const = default;
    };
    struct Times {
        RecentTimes firstByte;
        RecentTimes total;
    };

    bool isFirstBroken(UpstreamId, Instant now);
    // Judges a time that occurs so often in the answer, and adds it to those of the old version if it is one of these.
    bool isSlow(double seconds, double occurrences, RecentTimes&, bool isContextNew, bool isOldVersion) const;

    Bounds m_bounds;
    std::map<Class, Times> m_times;
    // The upstreams of a new version have few contexts at first, so that most of their answers are
    // of a class that the old version rarely has. The interval between events does not depend on that.
    std::map<RouteId, RecentTimes> m_eventIntervals;
    std::map<UpstreamId, Instant> m_lastBrokenAt;
};

}
