#pragma once

#include <LibRollout/PhaseDecision.h>
#include <LibRollout/RolloutCoordinator.h>
#include <functional>
#include <optional>

namespace Stagepost {

// A judge's requests to append status records: one at a time, in its turn among the judges, and again
// after a failure.
class RolloutRecorder {
public:
    struct Bounds {
        // The next in rank acts this much later if the phase was not raised.
        Microseconds takeoverInterval { 1000000 };
        // The time before the next attempt to append a record, and between reads that renew leases.
        Microseconds retryInterval { 500000 };
    };
    using Record = std::function<void(RolloutCoordinator::RecordRequest const&)>;

    RolloutRecorder(Bounds bounds, Record record)
        : m_bounds(bounds)
        , m_record(std::move(record))
    {
    }

    // Whether a request may be started.
    bool isReady(Instant now) const { return !m_request && now >= m_notBefore; }
    // Whether it is this judge's turn, which there are so many judges before. A step whose time is not known
    // is due since the first call for it.
    bool isTurn(RolloutStep const&, Instant orderedAt, size_t rank, Instant now);
    void start(RolloutCoordinator::RecordRequest, Instant now);
    // Like start(), for a phase that is recorded already: reads the record.
    void read(RolloutCoordinator::RecordRequest, Instant now);
    // Starts nothing before this time.
    void holdUntil(Instant until) { m_notBefore = std::max(m_notBefore, until); }

    // A finished request that was successful, and when it was started.
    struct Finished {
        RolloutPhase phase { RolloutPhase::Trial };
        Instant startedAt;
    };
    std::optional<Finished> finish(RolloutCoordinator::RecordResult, RolloutPhase ownPhase, Instant now);
    // The phase was learnt from a daemon that knows it from the record.
    void noteRecorded(RolloutPhase);
    void setRecorded(std::optional<RolloutPhase>);

    std::optional<RolloutPhase> recorded() const { return m_recorded; }
    // Whether any status of the order was ever recorded, as far as is known.
    bool wasRecorded() const { return m_wasRecorded; }

private:
    Bounds m_bounds;
    Record m_record;
    std::optional<RolloutPhase> m_recorded;
    bool m_wasRecorded { false };
    std::optional<RolloutCoordinator::RecordRequest> m_request;
    Instant m_startedAt;
    Instant m_notBefore;
    Instant m_nextReadAt;
    // The step that waits for its turn, and since when it is due.
    std::optional<RolloutPhase> m_waitingStep;
    Instant m_waitingSince;
};

}
