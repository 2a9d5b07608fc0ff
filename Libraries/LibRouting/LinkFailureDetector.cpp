#include <LibRouting/LinkFailureDetector.h>

#include <algorithm>

namespace Stagepost {

void LinkFailureDetector::connected(Instant now)
{
    if (m_lostSince) {
        m_lostUntil = now;
        m_lastFailures.clear();
    }
    m_lostSince.reset();
    m_suspectedAt.reset();
    m_failures.clear();
    m_connectedAt = now;
}

void LinkFailureDetector::probeConnected(Instant now)
{
    connected(now);
    m_nextProbeAt = now + m_bounds.pauseAfterSuccess;
}

void LinkFailureDetector::connectFailed(UpstreamId upstream, size_t upstreamCount, Instant now)
{
    expireFailures(now);
    m_failures[upstream] = now;
    if (isNewFailure(upstream, now))
        endPause();
    if (!m_lostSince && m_failures.size() >= std::min(m_bounds.failedUpstreams, upstreamCount))
        m_lostSince = now;
}

bool LinkFailureDetector::isNewFailure(UpstreamId upstream, Instant now)
{
    std::erase_if(m_lastFailures, [&](auto const& failure) { return now - failure.second > m_bounds.repeatedFailureTime; });
    return m_lastFailures.insert_or_assign(upstream, now).second;
}

void LinkFailureDetector::suspect(Instant now)
{
    m_suspectedAt = now;
}

void LinkFailureDetector::expireFailures(Instant now)
{
    if (!m_lostSince)
        std::erase_if(m_failures, [&](auto const& failure) { return now - failure.second > m_bounds.failureLifetime; });
}

LinkState LinkFailureDetector::state(Instant now) const
{
    if (m_lostSince)
        return LinkState::Lost;
    auto const isRecent = [&](Instant time) { return now - time <= m_bounds.failureLifetime; };
    bool const hasFailure = std::any_of(m_failures.begin(), m_failures.end(), [&](auto const& failure) { return isRecent(failure.second); });
    return hasFailure || (m_suspectedAt && isRecent(*m_suspectedAt)) ? LinkState::Suspected : LinkState::Up;
}

bool LinkFailureDetector::wasLostSince(Instant time) const
{
    return m_lostSince || (m_lostUntil && *m_lostUntil >= time);
}

// Upstreams that have failed already add nothing to the evidence before the links are lost. Later
// any upstream can show that they are back.
std::vector<UpstreamId> LinkFailureDetector::takeProbes(std::vector<UpstreamId> const& upstreams, RandomHook const& random, Instant now)
{
    if (!isProbeDue(now))
        return {};
    m_probedAt = now;
    m_nextProbeAt = now + m_bounds.probeInterval;
    auto candidates = upstreams;
    if (!m_lostSince)
        std::erase_if(candidates, [&](UpstreamId id) { return m_failures.contains(id); });
    std::vector<UpstreamId> result;
    while (!candidates.empty() && result.size() < m_bounds.probesAtOnce) {
        auto const index = randomBelow(random, candidates.size());
        result.push_back(candidates[index]);
        candidates.erase(candidates.begin() + static_cast<ptrdiff_t>(index));
    }
    return result;
}

}
