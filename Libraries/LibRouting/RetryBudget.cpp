#include <LibRouting/RetryBudget.h>

#include <algorithm>

namespace Stagepost {

RetryBudget::Slot& RetryBudget::slotAt(Instant now)
{
    auto const number = numberAt(now);
    auto& slot = m_slots.at(static_cast<size_t>(number) % slotCount);
    if (slot.number != number)
        slot = { number, 0, 0, 0, 0 };
    return slot;
}

RetryBudget::Usage RetryBudget::usage(Instant now) const
{
    auto const newest = numberAt(now);
    Usage usage;
    usage.slack = m_bounds.slack * m_slackShare(now);
    usage.unusedSlack = usableSlackShare * usage.slack;
    for (auto const& slot : m_slots) {
        auto const age = newest - slot.number;
        if (slot.number < 0 || age >= int64_t { slotCount })
            continue;
        usage.retries += slot.retries;
        usage.unusedSlack -= slot.spentSlack;
        // Requests of the oldest slot may already be outside the window.
        if (age < int64_t { slotsPerWindow })
            usage.requests += slot.requests;
        if (age < creditSlots)
            usage.credit += creditOf(slot);
    }
    return usage;
}

bool RetryBudget::mayRetry(Instant now) const
{
    auto const available = usage(now);
    return available.credit + std::max(0.0, available.unusedSlack) >= 1 + static_cast<double>(*m_reserved);
}

std::optional<RetryBudget::Reservation> RetryBudget::reserve(Instant now)
{
    if (!mayRetry(now))
        return {};
    return Reservation(m_reserved);
}

bool RetryBudget::spend(Reservation& reservation, Instant now)
{
    reservation.release();
    if (!mayRetry(now))
        return false;
    recordRetry(now);
    return true;
}

// Spends the oldest credit first, since it expires first.
void RetryBudget::recordRetry(Instant now)
{
    double unpaid = 1;
    auto const newest = numberAt(now);
    for (auto number = std::max<int64_t>(0, newest - creditSlots + 1); number <= newest; ++number) {
        auto& slot = m_slots.at(static_cast<size_t>(number) % slotCount);
        if (slot.number != number)
            continue;
        auto const paid = std::min(unpaid, creditOf(slot));
        slot.spentCredit += paid;
        unpaid -= paid;
    }
    auto& current = slotAt(now);
    ++current.retries;
    current.spentSlack += unpaid;
}

}
