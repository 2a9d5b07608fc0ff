#pragma once

#include <stagepostd/RunningRequests.h>

namespace Stagepost {

// When a planned stop takes its steps.
struct StopTimes {
    // Until then connections are accepted, since the load balancer may still make some.
    Milliseconds accept { 0 };
    // After that the open requests are given up.
    Milliseconds end { 0 };
    // By then the process has to shut down.
    Milliseconds limit { 0 };

    // The grace is the time from the stop signal until the process is killed from outside.
    static StopTimes make(Milliseconds grace, Milliseconds balancerNotice);
};

// Decides which requests a daemon that is about to stop still sends to upstreams: those that end before the daemon does, as
// far as earlier ones tell. Others get a truthful refusal, and their callers have time to go to another daemon.
class StopAdmission {
public:
    struct Work {
        WorkId id;
        // When the caller gets an answer in any case, if that is so.
        std::optional<Instant> deadline;
        // How long it takes at most, if earlier ones don't tell. Empty if that can't be said either; then it is not taken.
        std::optional<Milliseconds> durationIfUnknown;
    };

    // Returns false if a stop is under way already.
    bool begin(Instant now, StopTimes const&);
    bool isUnderWay() const { return m_end.has_value(); }
    // Whether the open requests are being given up.
    bool isOver(Instant now) const { return m_end && now >= *m_end; }
    // Takes every request unless a stop is under way.
    bool mayTake(Work const&, Instant now) const;

    RunningRequests& requests() { return m_requests; }
    RunningRequests const& requests() const { return m_requests; }

private:
    std::optional<Microseconds> expectedDuration(Work const&, Instant now) const;

    RunningRequests m_requests;
    std::optional<Instant> m_end;
};

}
