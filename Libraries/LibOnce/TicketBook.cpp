#include <LibOnce/TicketBook.h>

#include <LibBase/Hex.h>

namespace Stagepost {

namespace {

    constexpr size_t partSize = 16;
    constexpr size_t partCount = 4;
    constexpr size_t ticketSize = partCount * partSize;

    // Holder, incarnation, serial and tag, 16 digits each.
    std::string signedText(VMId holder, Incarnation incarnation, uint64_t serial)
    {
        return hexOf(holder.value()) + hexOf(incarnation.value()) + hexOf(serial);
    }

    std::string taggedText(std::string const& text, OrganisationId organisation)
    {
        return "ticket" + text + hexOf(organisation.value());
    }

}

TicketBook::TicketBook(Authenticator const& authenticator, VMId self, Incarnation incarnation, size_t window, size_t memoryBytes)
    : m_authenticator(authenticator)
    , m_self(self)
    , m_incarnation(incarnation)
    , m_window(window)
    , m_memoryBytes(memoryBytes)
{
}

void TicketBook::setBounds(size_t window, size_t memoryBytes)
{
    m_window = window;
    m_memoryBytes = memoryBytes;
}

std::vector<std::string> TicketBook::issue(OrganisationId organisation, size_t count)
{
    std::vector<std::string> tickets;
    while (tickets.size() < count) {
        if (m_slots.size() >= m_window && !forgetOldest())
            break;
        auto const serial = m_first + m_slots.size();
        m_slots.emplace_back();
        auto const text = signedText(m_self, m_incarnation, serial);
        tickets.push_back(text + hexOfBytes(m_authenticator.tagOf(taggedText(text, organisation))));
    }
    return tickets;
}

bool TicketBook::forgetOldest()
{
    if (m_slots.front().state == State::Running)
        return false;
    m_responseBytes -= m_slots.front().response.body.size();
    m_slots.pop_front();
    ++m_first;
    return true;
}

TicketBook::Slot* TicketBook::slotOf(uint64_t serial)
{
    if (serial < m_first || serial >= m_first + m_slots.size())
        return nullptr;
    return &m_slots[serial - m_first];
}

TicketBook::Decision TicketBook::use(std::string_view ticket, OrganisationId organisation, uint64_t fingerprint)
{
    Refusal const invalid { RefusalReason::TicketInvalid, Verdict::NotRun, "not a ticket of this fleet and organisation", {} };
    if (ticket.size() != ticketSize)
        return invalid;
    std::string const text(ticket.substr(0, ticketSize - partSize));
    if (!m_authenticator.matches(taggedText(text, organisation), bytesOfHex(ticket.substr(ticketSize - partSize))))
        return invalid;
    auto const part = [&](size_t index) { return numberOfHex(ticket.substr(index * partSize, partSize)).value_or(0); };
    if (VMId(part(0)) != m_self)
        return HeldElsewhere { VMId(part(0)) };
    if (Incarnation(part(1)) != m_incarnation)
        return Refusal { RefusalReason::TicketHolderGone, Verdict::MayHaveRun, "the daemon that handed the ticket out has restarted", {} };
    auto* slot = slotOf(part(2));
    if (!slot)
        return Refusal { RefusalReason::KeyOutOfWindow, Verdict::MayHaveRun, "the ticket is older than what is remembered", {} };
    if (slot->state != State::Unused && slot->fingerprint != fingerprint)
        return Refusal { RefusalReason::KeyReused, Verdict::NotRun, "the ticket was used for another request", {} };
    switch (slot->state) {
    case State::Unused:
        slot->state = State::Running;
        slot->fingerprint = fingerprint;
        return MayRun { part(2) };
    case State::Running:
        return Refusal { RefusalReason::KeyInProgress, Verdict::MayHaveRun, "the ticket's call is running", Milliseconds(1000) };
    case State::Done:
        if (slot->response.isComplete)
            return Replay { slot->response };
        return Refusal { RefusalReason::KeyInProgress, Verdict::Ran, "the call has run; its response is not kept", {} };
    case State::InDoubt:
        break;
    }
    return Refusal { RefusalReason::KeyInProgress, Verdict::MayHaveRun, "nobody can say whether the ticket's call has run", {} };
}

void TicketBook::done(uint64_t serial, RecordedResponse response)
{
    auto* slot = slotOf(serial);
    if (!slot)
        return;
    slot->state = State::Done;
    m_responseBytes += response.body.size();
    slot->response = std::move(response);
    shrinkAnswers();
}

void TicketBook::shrinkAnswers()
{
    for (m_shrunkBefore = std::max(m_shrunkBefore, m_first); m_responseBytes > m_memoryBytes && m_shrunkBefore < m_first + m_slots.size(); ++m_shrunkBefore) {
        auto& response = slotOf(m_shrunkBefore)->response;
        m_responseBytes -= response.body.size();
        response.body.clear();
        response.body.shrink_to_fit();
        response.isComplete = false;
    }
}

void TicketBook::notRun(uint64_t serial)
{
    if (auto* slot = slotOf(serial))
        slot->state = State::Unused;
}

void TicketBook::inDoubt(uint64_t serial)
{
    if (auto* slot = slotOf(serial))
        slot->state = State::InDoubt;
}

}
