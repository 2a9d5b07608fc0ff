#include <stagepostd/CrashWatch.h>

#include <LibBase/Hex.h>
#include <LibBase/Log.h>

namespace Stagepost {

namespace {

    // A process closes its port and its connections within milliseconds, in any order.
    constexpr size_t mostProbes = 2;
    constexpr Milliseconds probePause { 50 };
    // Until an upstream that starts again at once is known by its record: its first report and
    // the read of it take two to three seconds.
    constexpr Milliseconds doubtLasts { 5000 };

}

CrashWatch::CrashWatch(EventLoop& loop, Metrics& metrics, CrashSuspects& suspects, Hooks hooks)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_suspects(suspects)
    , m_hooks(std::move(hooks))
{
}

void CrashWatch::brokeOff(BrokenRequest const& broken)
{
    auto const now = m_loop.now();
    auto const [position, isNew] = m_doubts.try_emplace(broken.upstream);
    auto& doubt = position->second;
    doubt.requests.insert(broken.request);
    doubt.instance = broken.instance;
    doubt.endpoint = broken.endpoint;
    if (isNew)
        doubt.since = now;
    if (doubt.isProbing)
        return;
    doubt.probes = 0;
    probe(broken.upstream, doubt);
}

void CrashWatch::probe(UpstreamId upstream, Doubt& doubt)
{
    doubt.isProbing = true;
    ++doubt.probes;
    m_hooks.probe(doubt.endpoint, [this, upstream](PortState state) { probed(upstream, state); });
}

void CrashWatch::probed(UpstreamId upstream, PortState state)
{
    auto const found = m_doubts.find(upstream);
    if (found == m_doubts.end())
        return;
    found->second.isProbing = false;
    found->second.nextProbeAt = m_loop.now() + probePause;
    if (state == PortState::Closed)
        confirm(upstream, "port-closed");
}

void CrashWatch::restarted(UpstreamId upstream)
{
    confirm(upstream, "restarted");
}

void CrashWatch::confirm(UpstreamId upstream, std::string_view evidence)
{
    auto const doubt = m_doubts.extract(upstream);
    if (doubt.empty())
        return;
    auto const& requests = doubt.mapped().requests;
    m_metrics.count("stagepost_upstream_ends_total");
    logEvent(LogLevel::Warning, "upstream-ended", { { "instance", doubt.mapped().instance }, { "evidence", evidence }, { "requests", requests.size() } });
    for (auto const request : requests) {
        if (!m_suspects.ended(request, upstream, m_loop.now()))
            continue;
        logEvent(LogLevel::Info, "crash-evidence", { { "request", hexOf(request.value()) }, { "source", "seen" }, { "instance", doubt.mapped().instance }, { "ends", m_suspects.endCount(request) }, { "guilty", m_suspects.isGuilty(request) ? 1 : 0 } });
        m_hooks.seen(request);
    }
}

void CrashWatch::answered(RequestFingerprint request)
{
    if (!m_suspects.answered(request, m_loop.now()))
        return;
    logEvent(LogLevel::Info, "crash-evidence-cleared", { { "request", hexOf(request.value()) }, { "source", "answered" } });
    m_hooks.seen(request);
}

void CrashWatch::tick()
{
    auto const now = m_loop.now();
    std::erase_if(m_doubts, [now](auto const& entry) { return !entry.second.isProbing && now - entry.second.since > doubtLasts; });
    for (auto& [upstream, doubt] : m_doubts) {
        if (!doubt.isProbing && doubt.probes < mostProbes && now >= doubt.nextProbeAt)
            probe(upstream, doubt);
    }
}

}
