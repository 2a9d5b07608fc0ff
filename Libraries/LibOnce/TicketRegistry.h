#pragma once

#include <LibBase/Authenticator.h>
#include <LibBase/Ids.h>
#include <LibBase/RefusalReason.h>
#include <LibOnce/RecordedResponse.h>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Stagepost {

// Issues tickets ahead of calls and tracks the state of each. A ticket names the daemon that
// issued it and that daemon's incarnation, and only this process may run its call. Tickets
// therefore need neither the log nor a clock, and work in a hall that is partitioned from
// the rest of the fleet.
class TicketRegistry {
public:
    struct MayRun {
        uint64_t serial { 0 };
    };
    struct Replay {
        RecordedResponse response;
    };
    // Another daemon issued the ticket, and only that daemon may run it.
    struct HeldElsewhere {
        VMId holder;
    };
    using Decision = std::variant<MayRun, Replay, HeldElsewhere, Refusal>;

    // The window is the number of tickets that are tracked. The bodies of recorded responses
    // are limited to memoryBytes; those of the oldest tickets are dropped first.
    TicketRegistry(Authenticator const&, VMId self, Incarnation, size_t window, size_t memoryBytes);

    void setBounds(size_t window, size_t memoryBytes);

    // Issues tickets for one organisation and stops tracking the oldest ones to make room. It
    // returns fewer than requested if the oldest is running, because a running ticket is
    // never evicted.
    std::vector<std::string> issue(OrganisationId, size_t count);

    // Decides on a request that carries the ticket. Returns MayRun at most once for a ticket,
    // unless notRun() has made it usable again.
    Decision redeem(std::string_view ticket, OrganisationId, uint64_t fingerprint);

    void done(uint64_t serial, RecordedResponse);
    // The call has certainly not run: the ticket can be redeemed again.
    void notRun(uint64_t serial);
    // It is unknown whether the call ran.
    void inDoubt(uint64_t serial);

    size_t trackedCount() const { return m_slots.size(); }
    size_t bytes() const { return m_slots.size() * sizeof(Slot) + m_responseBytes; }

private:
    enum class State : unsigned char {
        Unused,
        Running,
        Done,
        InDoubt,
    };
    struct Slot {
        State state { State::Unused };
        uint64_t fingerprint { 0 };
        RecordedResponse response;
    };

    Slot* findSlot(uint64_t serial);
    bool evictOldest();
    void dropOldestBodies();

    Authenticator const& m_authenticator;
    VMId m_self;
    Incarnation m_incarnation;
    size_t m_window;
    size_t m_memoryBytes;
    // The serial of m_slots.front(). The slot of serial n is m_slots[n - m_firstSerial].
    uint64_t m_firstSerial { 1 };
    std::deque<Slot> m_slots;
    size_t m_responseBytes { 0 };
    // The serial from which dropOldestBodies() continues. A call with a lower serial that
    // completes later keeps its body until its ticket is evicted.
    uint64_t m_nextBodyToDrop { 1 };
};

}
