#include <LibRouting/TrialLeases.h>

#include <algorithm>

namespace Stagepost {

bool TrialLeases::acquire(Fingerprint subject, Holder holder, Instant now)
{
    auto found = m_subjects.find(subject);
    if (found == m_subjects.end()) {
        if (m_subjects.size() >= m_bounds.capacity)
            return false;
        found = m_subjects.try_emplace(subject, Subject { holder, now, now, m_bounds.initialPause }).first;
    }
    auto& known = found->second;
    bool const isHeld = now < known.heldUntil;
    if (isHeld && known.holder != holder)
        return false;
    // The holder may have sent the request before it went silent.
    if (!isHeld && known.heldUntil > known.nextAt)
        pauseAfterSend(known, {}, known.heldUntil);
    if (!isHeld && now < known.nextAt)
        return false;
    known.holder = holder;
    known.heldUntil = now + m_bounds.duration;
    return true;
}

void TrialLeases::release(Fingerprint subject, Holder holder, TrialOutcome outcome, Instant now)
{
    auto const found = m_subjects.find(subject);
    if (found == m_subjects.end() || found->second.holder != holder || found->second.heldUntil <= now)
        return;
    found->second.heldUntil = now;
    if (outcome == TrialOutcome::NotSent)
        found->second.nextAt = now + m_bounds.unsentPause;
    else
        pauseAfterSend(found->second, outcome == TrialOutcome::Broken ? m_bounds.brokenPause : Microseconds(0), now);
}

void TrialLeases::pauseAfterSend(Subject& subject, Microseconds leastPause, Instant sentUntil) const
{
    subject.nextAt = sentUntil + std::max(subject.pause, leastPause);
    subject.pause = std::min(2 * subject.pause, m_bounds.maxPause);
}

void TrialLeases::prune(Instant now)
{
    std::erase_if(m_subjects, [&](auto const& entry) { return now - std::max(entry.second.heldUntil, entry.second.nextAt) > m_bounds.retention; });
}

}
