#pragma once

#include <LibBase/FleetPeer.h>
#include <LibRollout/RolloutBook.h>
#include <LibRollout/RolloutMessage.h>
#include <LibRollout/VersionTest.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Stagepost {

// A daemon's part in carrying out the order of one service: sends its evidence to its hall's judge, judges if
// it is that, raises the phase and records the outcome if it is its turn, and holds its permission to use the
// old version.
class RolloutCoordinator {
public:
    struct Bounds {
        RolloutSchedule schedule;
        // The interval between evidence reports, and the least one when answers are bad.
        Microseconds reportInterval { 500000 };
        Microseconds urgentReportInterval { 250000 };
        // A judge that has not replied for this long is replaced by the next in rank.
        Microseconds judgeTimeout { 1200000 };
        // How long a daemon may use the old version after sending a report that was answered.
        Microseconds lease { 1500000 };
        // The next in rank acts this much later if the phase was not raised.
        Microseconds takeoverInterval { 1000000 };
        // The time before the next attempt to append a record.
        Microseconds recordRetryInterval { 500000 };
    };

    // A status record to be appended if the latest one still allows it.
    struct RecordRequest {
        RolloutOrder order;
        RolloutPhase phase { RolloutPhase::Trial };
        Microseconds elapsed { 0 };
        // Whether this is a rollback because the order has not reached Moved at its deadline. A record
        // that shows Moved stands against it.
        bool isAtDeadline { false };
    };
    enum class RecordResult : uint8_t {
        Recorded,
        // The latest record has an outcome for this order, or is of a later order; it was adopted.
        Superseded,
        // The store did not answer, or another record came first; to be tried again.
        Failed,
    };

    struct Hooks {
        std::function<void(VMId to, RolloutMessage const&)> send;
        // Reads the latest record, and appends the requested one if decideRecord() allows it; see RecordRule.h.
        // Whatever record is found or appended is given to RolloutBook::applyRecorded(), and after that
        // recordFinished() is called, exactly once. There is never more than one request at a time.
        std::function<void(RecordRequest const&)> record;
        // The number of this daemon's requests that run at the old version's upstreams.
        std::function<size_t()> runningAtOldVersion;
        // Raises the phase in the book.
        std::function<void(RolloutPhase)> raise;
        std::function<void(VersionVerdict const&)> condemned;
        // Whether the order's version has upstreams and each other version with upstreams is barred, as
        // after an order back to the version that serves. May be left empty.
        std::function<bool()> isServing {};
    };

    RolloutCoordinator(FleetPeer self, uint64_t process, RolloutOrder, Bounds, Hooks);

    void setPeers(std::vector<FleetPeer> const&, Instant now);
    void receive(VMId from, RolloutMessage const&, Instant now);
    // The state that the book holds for this order.
    void setState(RolloutState const&, Instant now);
    // This daemon's cumulative evidence has changed.
    void evidenceChanged(RolloutEvidence const&, bool isBad, Instant now);
    void recordFinished(RecordResult, Instant now);
    // The phase that the store's status record shows for this order, or that it shows none, e.g. since the store
    // was restored from a copy. An outcome that is missing is written again.
    void setRecorded(std::optional<RolloutPhase>, Instant now);
    // To be called at least every 100 ms.
    void tick(Instant now);

    // Whether this daemon may send to the old version.
    bool mayUseOldVersion(Instant now) const;
    bool isJudge() const;
    VersionVerdict verdict() const;
    // The age of the oldest hall report that the verdict uses.
    Microseconds evidenceAge(Instant now) const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
