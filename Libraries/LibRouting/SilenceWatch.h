#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <map>

namespace Stagepost {

// How long answers usually let a caller wait, as a mean and its deviation.
class WaitEstimate {
public:
    void add(Microseconds wait);
    // What a sound upstream hardly ever exceeds; zero before the first wait.
    Microseconds bound() const;

private:
    double m_mean { 0 };
    double m_deviation { 0 };
    bool m_isKnown { false };
};

// Whether an upstream can be reached, as far as its silence tells.
enum class Reach : uint8_t {
    Heard,
    // It may be silent: a request goes there only on a connection that has just
    // come up, which proves that it is not.
    Doubtful,
    // Its whole hall is silent: a request goes elsewhere.
    Silent,
};

// Notices upstreams, and whole halls, that have fallen silent while answers of
// theirs are still due. A cut between halls resets no connection: without this
// it is noticed when requests run out of time, one by one.
//
// An upstream is silent when more time than usual has passed without a byte of
// it, or when no connection to it came up. A hall is silent when several of its
// upstreams are and none was heard. Some requests still go to a silent hall, so
// that its return is noticed.
class SilenceWatch {
public:
    struct Bounds {
        // However quick answers are, a late timer or a lost packet is no silence.
        Microseconds least { 150000 };
        // However slow they are, this is.
        Microseconds most { 2000000 };
        // From one trial of a silent hall to the next.
        Microseconds trialPause { 400000 };
        // So many silent upstreams make a silent hall; one may have crashed.
        size_t upstreamsOfSilentHall { 2 };
    };

    SilenceWatch() = default;
    explicit SilenceWatch(Bounds bounds)
        : m_bounds(bounds)
    {
    }

    // A request goes there.
    void sent(UpstreamId, HallId, Instant now);
    // A connection came up.
    void connected(UpstreamId, Instant now);
    // The answer began, or went on, after a wait.
    void answerBegan(UpstreamId, Microseconds wait, Instant now);
    void answerWentOn(UpstreamId, Microseconds wait, Instant now);
    // No connection came up: in time, or at all.
    void unreached(UpstreamId);
    // The request is over, whatever it came to.
    void ended(UpstreamId, Instant now);
    // This daemon stood still for so long: nobody waited for what is due meanwhile.
    void stoodStill(Microseconds duration);
    // The upstream is gone for good.
    void forget(UpstreamId upstream) { m_lines.erase(upstream); }

    // Of all upstreams of a hall together.
    Reach reach(HallId, Instant now) const;
    // Whether something of this upstream is overdue.
    bool isSilent(UpstreamId, Instant now) const;
    // How long answers may be overdue before they count as silence.
    Microseconds patience() const;

private:
    // Kept while a request is under way or the upstream is silent.
    struct Line {
        HallId hall;
        size_t open { 0 };
        // Since when something is due from it.
        Instant waitingSince;
        bool isUnreached { false };
    };
    struct Hall {
        Instant heardAt;
        Instant nextTrialAt;
    };

    void heard(UpstreamId, Instant now);
    bool isSilent(Line const&, Instant now) const;
    bool isSilent(HallId, Instant now) const;

    Bounds m_bounds;
    WaitEstimate m_beginnings;
    WaitEstimate m_gaps;
    std::map<UpstreamId, Line> m_lines;
    std::map<HallId, Hall> m_halls;
};

}
