#include <LibRouting/RetryBudget.h>

namespace Stagepost {

RetryBudget::Slot& RetryBudget::slotAt(Instant now)
{
    auto const number = numberAt(now);
    auto& slot = m_slots.at(static_cast<size_t>(number) % slotCount);
    if (slot.number != number)
        slot = { number, 0, 0 };
    return slot;
}

RetryBudget::Usage RetryBudget::usage(Instant now) const
{
    auto const newest = numberAt(now);
    Usage usage;
    usage.slack = m_bounds.slack * m_slackShare(now);
    for (auto const& slot : m_slots) {
        if (slot.number < 0 || slot.number + static_cast<int64_t>(slotCount) <= newest)
            continue;
        usage.retries += slot.retries;
        // Requests of the oldest slot may already be outside the window.
        if (slot.number + static_cast<int64_t>(slotCount) - 1 > newest)
            usage.requests += slot.requests;
    }
    return usage;
}

bool RetryBudget::mayRetry(Instant now) const
{
    auto const used = usage(now);
    return used.retries + 1 <= usableShare * (m_bounds.ratio * used.requests + used.slack);
}

}
