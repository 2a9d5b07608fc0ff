#pragma once

#include <LibBase/Time.h>
#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace Stagepost {

// Limits the fleet's retries in any window to a ratio of its requests and a slack, without
// communication between daemons.
//
// Each request earns credit for a part of a retry. Credit is spent once and expires after half a window,
// so the fleet's retries by credit in any window are bounded by its requests of a window and a half,
// whichever daemons and processes have got them. A count of retries over a whole window would bound
// each process alone: one that starts, or that gets the requests of another one, would grant again what
// has been spent in advance.
//
// Of the fleet-wide slack, every daemon uses a part. The part of a daemon that is down goes unused.
class RetryBudget {
public:
    struct Bounds {
        // Allowed retries per request.
        double ratio { 0.2 };
        // Retries per window that the whole fleet may make in addition, regardless of the
        // number of requests.
        double slack { 0 };
        Microseconds window { 10000000 };
    };

    // What has been counted in the current window, and what is left.
    struct Usage {
        double requests { 0 };
        double retries { 0 };
        // Retries that earlier requests have earned.
        double credit { 0 };
        // This daemon's part of the slack.
        double slack { 0 };
        // What is left of it.
        double unusedSlack { 0 };
    };

    // Returns this daemon's part of the slack at the given time, from 0 to 1. The parts that all daemons
    // use within a window must add up to at most 1.
    using ShareHook = std::function<double(Instant)>;

    RetryBudget(Bounds bounds, ShareHook slackShare)
        : m_bounds(bounds)
        , m_slackShare(std::move(slackShare))
    {
    }

    void recordRequest(Instant now) { slotAt(now).requests += 1; }
    // Whether a retry is allowed now, beside those that are reserved.
    bool mayRetry(Instant now) const;
    Usage usage(Instant now) const;
    void recordRetry(Instant now);

    // Keeps a retry from other requests until it is spent or this object ends.
    class Reservation {
    public:
        explicit Reservation(std::shared_ptr<size_t> count)
            : m_count(std::move(count))
        {
            ++*m_count;
        }
        ~Reservation() { release(); }
        Reservation(Reservation&&) = default;
        Reservation& operator=(Reservation&&) = delete;
        Reservation(Reservation const&) = delete;
        Reservation& operator=(Reservation const&) = delete;

        void release()
        {
            if (m_count)
                --*m_count;
            m_count.reset();
        }

    private:
        std::shared_ptr<size_t> m_count;
    };
    // None if no retry is allowed now.
    std::optional<Reservation> reserve(Instant now);
    // Returns false if the credit for the retry has expired since.
    bool spend(Reservation&, Instant now);

private:
    // The window slides in steps. The additional slot keeps the retries of the partly expired step,
    // so that they are never undercounted.
    static constexpr size_t slotsPerWindow = 16;
    static constexpr size_t slotCount = slotsPerWindow + 1;
    static constexpr int64_t creditSlots = slotsPerWindow / 2;
    // The part of the ratio that requests earn. At a constant rate, a window's retries are paid for by the
    // requests of one and a half windows, and some arrive later than they are counted.
    static constexpr double earnedShare = 0.63;
    // The rest of the slack stays unused as a margin for retries that arrive late.
    static constexpr double usableSlackShare = 0.85;

    struct Slot {
        int64_t number { -1 };
        uint32_t requests { 0 };
        uint32_t retries { 0 };
        // What retries have taken from the credit of this slot's requests.
        double spentCredit { 0 };
        // What retries in this slot have taken from the slack.
        double spentSlack { 0 };
    };

    int64_t numberAt(Instant now) const { return now.time_since_epoch() / (m_bounds.window / int64_t { slotsPerWindow }); }
    Slot& slotAt(Instant now);
    double creditOf(Slot const& slot) const { return earnedShare * m_bounds.ratio * slot.requests - slot.spentCredit; }

    Bounds m_bounds;
    ShareHook m_slackShare;
    std::array<Slot, slotCount> m_slots {};
    std::shared_ptr<size_t> m_reserved { std::make_shared<size_t>(0) };
};

}
