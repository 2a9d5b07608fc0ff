#include <stagepostd/LinkMonitor.h>

#include <LibBase/Log.h>

namespace Stagepost {

namespace {

    // Short enough for most answers that wait for an upstream to be still in time, and longer than
    // the waits of a daemon with several requests under way.
    constexpr Milliseconds maxTotalSilence { 400 };
    constexpr Milliseconds probeCheckInterval { 25 };

}

LinkMonitor::LinkMonitor(bool isEnabled, EventLoop& loop, Metrics& metrics, ServiceTable& serviceTable, Hooks hooks)
    : m_isEnabled(isEnabled)
    , m_loop(loop)
    , m_metrics(metrics)
    , m_serviceTable(serviceTable)
    , m_hooks(std::move(hooks))
    , m_timer(loop)
{
}

void LinkMonitor::connected()
{
    m_metrics.count("stagepost_upstream_connects_total", "outcome=\"connected\"");
    if (!m_isEnabled)
        return;
    m_detector.connected(m_loop.now());
    update();
}

void LinkMonitor::connectFailed(UpstreamId upstream)
{
    m_metrics.count("stagepost_upstream_connects_total", "outcome=\"failed\"");
    if (!m_isEnabled)
        return;
    m_detector.connectFailed(upstream, m_serviceTable.upstreamCount(), m_loop.now());
    update();
}

// Requests on connections that were established before a network partition wait without an error.
void LinkMonitor::tick()
{
    if (!m_isEnabled)
        return;
    auto const now = m_loop.now();
    if (m_state == LinkState::Up && m_serviceTable.silence().areAllSilent(maxTotalSilence, now))
        m_detector.suspect(now);
    update();
}

LinkState LinkMonitor::stateSince(Instant time)
{
    if (m_detector.wasLostSince(time))
        return LinkState::Lost;
    if (!m_isEnabled || m_detector.hasConnectedSince(time) || m_serviceTable.upstreamCount() <= 1)
        return LinkState::Up;
    m_detector.suspect(m_loop.now());
    update();
    return LinkState::Suspected;
}

void LinkMonitor::update()
{
    auto const state = m_detector.state(m_loop.now());
    if (state != m_state)
        handleChange(std::exchange(m_state, state));
    judgePendingFailures();
    if (m_state != LinkState::Up)
        probe();
}

void LinkMonitor::whenDecided(std::function<void()> callback)
{
    if (m_openProbes && m_state == LinkState::Suspected)
        m_waiting.push_back(std::move(callback));
    else
        callback();
}

void LinkMonitor::judgeFailure(std::function<void(LinkState)> callback)
{
    auto const failedAt = m_loop.now();
    m_detector.endPause();
    auto const state = stateSince(failedAt);
    if (state == LinkState::Suspected)
        m_pendingFailures.push_back({ failedAt, std::move(callback) });
    else
        callback(state);
}

void LinkMonitor::judgePendingFailures()
{
    for (auto& pending : std::exchange(m_pendingFailures, {})) {
        if (m_detector.wasLostSince(pending.failedAt))
            pending.callback(LinkState::Lost);
        else if (m_state == LinkState::Up || m_detector.hasConnectedSince(pending.failedAt))
            pending.callback(LinkState::Up);
        else
            m_pendingFailures.push_back(std::move(pending));
    }
}

void LinkMonitor::handleChange(LinkState previous)
{
    auto const now = m_loop.now();
    m_metrics.setGauge("stagepost_links_lost", m_state == LinkState::Lost ? 1 : 0);
    if (m_state == LinkState::Lost) {
        m_lostSince = now;
        m_metrics.count("stagepost_links_lost_total");
        logEvent(LogLevel::Warning, "links-lost", { { "upstreams", m_serviceTable.upstreamCount() } });
    } else if (previous == LinkState::Lost) {
        logEvent(LogLevel::Info, "links-restored", { { "lost_ms", (now - m_lostSince).count() / 1000 } });
        m_serviceTable.forgetUnreachable(now);
    }
    m_hooks.stateChanged(m_state);
}

void LinkMonitor::probe()
{
    auto const now = m_loop.now();
    if (m_detector.isProbeDue(now)) {
        auto const upstreams = m_detector.takeProbes(m_serviceTable.upstreamIds(), m_hooks.random, now);
        m_openProbes += upstreams.size();
        for (auto const id : upstreams)
            m_hooks.probe(m_serviceTable.target(id)->endpoint, [this, id](PortState state) { finishProbe(id, state); });
    }
    m_timer.once(probeCheckInterval, [this] { update(); });
}

void LinkMonitor::finishProbe(UpstreamId upstream, PortState state)
{
    --m_openProbes;
    m_metrics.count("stagepost_link_probes_total", state == PortState::Open ? "outcome=\"connected\"" : "outcome=\"failed\"");
    if (state == PortState::Open)
        m_detector.probeConnected(m_loop.now());
    else if (m_serviceTable.target(upstream))
        m_detector.connectFailed(upstream, m_serviceTable.upstreamCount(), m_loop.now());
    if (!m_openProbes && state != PortState::Open)
        m_detector.probesFailed(m_loop.now());
    update();
    if (m_state == LinkState::Suspected && m_openProbes)
        return;
    for (auto const& callback : std::exchange(m_waiting, {}))
        callback();
}

}
