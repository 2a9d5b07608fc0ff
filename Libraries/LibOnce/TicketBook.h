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

// Hands out tickets in advance and remembers what became of each. A ticket names
// the one start of one daemon that may run it, so it needs neither the log nor a
// clock, and works in a hall that is cut off from everything.
class TicketBook {
public:
    struct MayRun {
        uint64_t serial { 0 };
    };
    struct Replay {
        RecordedResponse response;
    };
    // Another daemon has handed the ticket out; it alone may run it.
    struct HeldElsewhere {
        VMId holder;
    };
    using Decision = std::variant<MayRun, Replay, HeldElsewhere, Refusal>;

    // The window is how many tickets are remembered; the answers of those that
    // have run are kept within the memory, the oldest given up first.
    TicketBook(Authenticator const&, VMId self, Incarnation, size_t window, size_t memoryBytes);

    void setBounds(size_t window, size_t memoryBytes);

    // Tickets for one organisation. Fewer than asked for come back when no more
    // can be remembered, and none of a ticket that is running is ever given up.
    std::vector<std::string> issue(OrganisationId, size_t count);

    // Decides on a request that carries the ticket; MayRun is given once at most.
    Decision use(std::string_view ticket, OrganisationId, uint64_t fingerprint);

    void done(uint64_t serial, RecordedResponse);
    // The call has certainly not run; the ticket is as good as before.
    void notRun(uint64_t serial);
    // Nobody can say whether it ran.
    void inDoubt(uint64_t serial);

    size_t remembered() const { return m_slots.size(); }
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

    Slot* slotOf(uint64_t serial);
    bool forgetOldest();
    void shrinkAnswers();

    Authenticator const& m_authenticator;
    VMId m_self;
    Incarnation m_incarnation;
    size_t m_window;
    size_t m_memoryBytes;
    // Serials from m_first on; the slot of serial n is m_slots[n - m_first].
    uint64_t m_first { 1 };
    std::deque<Slot> m_slots;
    size_t m_responseBytes { 0 };
    uint64_t m_shrunkBefore { 1 };
};

}
