#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <map>

namespace Stagepost {

// How a trial has ended.
enum class TrialOutcome : uint8_t {
    NotSent,
    // The request was sent, and its answer did not break off.
    Sent,
    // The answer broke off. Whether the upstream has crashed is known some seconds later at most.
    Broken,
};

// The trials that this daemon grants as an arbiter: one at a time for each subject, with a growing pause after
// trials that have brought no answer.
class TrialLeases {
public:
    struct Bounds {
        // A lease that is not renewed ends after this; its holder may be gone.
        Microseconds duration { 2000000 };
        // The pause after a trial that was not sent: no upstream is up, which callers find out as often as they ask.
        Microseconds unsentPause { 100000 };
        // The pause after a trial that was sent. It doubles with each further one.
        Microseconds initialPause { 250000 };
        Microseconds maxPause { 30000000 };
        // The pause after a trial that broke off is at least this long.
        Microseconds brokenPause { 5000000 };
        // How long a subject that nobody asks for is remembered, and how many are.
        Microseconds retention { 60000000 };
        size_t capacity { 1024 };
    };

    // A daemon's trial. The number tells it from the daemon's other ones.
    struct Holder {
        VMId daemon;
        uint64_t trial { 0 };

        bool operator==(Holder const&) const = default;
    };

    explicit TrialLeases(Bounds bounds)
        : m_bounds(bounds)
    {
    }

    // Grants the trial, or renews its lease. Returns whether the daemon holds it.
    bool acquire(Fingerprint subject, Holder, Instant now);
    // Ends the lease, if the daemon holds it.
    void release(Fingerprint subject, Holder, TrialOutcome, Instant now);
    void prune(Instant now);

private:
    struct Subject {
        Holder holder;
        // When the lease ends; the time of the release if there is none.
        Instant heldUntil;
        Instant nextAt;
        Microseconds pause { 0 };
    };

    void pauseAfterSend(Subject&, Microseconds leastPause, Instant sentUntil) const;

    Bounds m_bounds;
    std::map<Fingerprint, Subject> m_subjects;
};

}
