#include <stagepostd/CrashDetector.h>

#include <LibBase/Hex.h>
#include <LibBase/Log.h>
#include <algorithm>
#include <stagepostd/PartEvidenceLog.h>
#include <utility>

namespace Stagepost {

namespace {

    // A process that ends closes its port and its connections within milliseconds of each other, in
    // any order. So a port that is still open is probed a second time.
    constexpr size_t maxProbes = 2;
    constexpr Milliseconds probeInterval { 50 };
    // An upstream that restarts at once is known by its new record after two to three seconds: it
    // has to write its first report, and this daemon has to read it.
    constexpr Milliseconds pendingCheckTimeout { 5000 };

}

CrashDetector::CrashDetector(EventLoop& loop, Metrics& metrics, CrashSuspects& suspects, PromptPartSuspects& partSuspects, Hooks hooks)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_suspects(suspects)
    , m_partSuspects(partSuspects)
    , m_hooks(std::move(hooks))
{
}

void CrashDetector::requestBroken(BrokenRequest const& broken)
{
    auto& check = startCheck(broken);
    check.add(broken.request, broken.sentAt, broken.promptParts);
}

void CrashDetector::answerEndedWithConnection(BrokenRequest const& request)
{
    startCheck(request).unconfirmedAnswers.push_back({ request.request, request.promptParts, request.sentAt });
}

void CrashDetector::PendingCheck::add(Fingerprint request, Instant sentAt, std::span<Fingerprint const> parts)
{
    auto& firstSentAt = requests.try_emplace(request, sentAt).first->second;
    firstSentAt = std::min(firstSentAt, sentAt);
    promptParts.insert(parts.begin(), parts.end());
}

CrashDetector::PendingCheck& CrashDetector::startCheck(BrokenRequest const& broken)
{
    auto const [position, isNew] = m_pendingChecks.try_emplace(broken.upstream);
    auto& check = position->second;
    check.instance = broken.instance;
    check.endpoint = broken.endpoint;
    if (isNew)
        check.since = m_loop.now();
    if (check.isProbing)
        return check;
    check.probes = 0;
    probe(broken.upstream, check);
    return check;
}

void CrashDetector::probe(UpstreamId upstream, PendingCheck& check)
{
    check.isProbing = true;
    ++check.probes;
    m_hooks.probe(check.endpoint, [this, upstream](PortState state) { handleProbeResult(upstream, state); });
}

void CrashDetector::handleProbeResult(UpstreamId upstream, PortState state)
{
    auto const found = m_pendingChecks.find(upstream);
    if (found == m_pendingChecks.end())
        return;
    found->second.isProbing = false;
    found->second.nextProbeAt = m_loop.now() + probeInterval;
    found->second.isPortClosed = found->second.isPortClosed || state == PortState::Closed;
    if (finishIfPortClosed(upstream, found->second))
        return;
    if (state == PortState::Open && found->second.probes == maxProbes)
        confirmAnswers(found->second);
    if (found->second.requests.empty() && found->second.unconfirmedAnswers.empty())
        m_pendingChecks.erase(found);
}

void CrashDetector::confirmAnswers(PendingCheck& check)
{
    for (auto const& answer : std::exchange(check.unconfirmedAnswers, {})) {
        requestAnswered(answer.request);
        promptAnswered(answer.promptParts, answer.sentAt);
    }
}

// The links are judged from the moment at which the answer broke off.
bool CrashDetector::finishIfPortClosed(UpstreamId upstream, PendingCheck const& check)
{
    if (!check.isPortClosed)
        return false;
    auto const links = m_hooks.linksSince(check.since);
    if (links == LinkState::Up)
        confirmCrash(upstream, "port-closed");
    else if (links == LinkState::Lost)
        m_pendingChecks.erase(upstream);
    return links != LinkState::Suspected;
}

void CrashDetector::upstreamRestarted(UpstreamId upstream)
{
    confirmCrash(upstream, "restarted");
}

void CrashDetector::confirmCrash(UpstreamId upstream, std::string_view evidence)
{
    auto check = m_pendingChecks.extract(upstream);
    if (check.empty())
        return;
    for (auto const& answer : check.mapped().unconfirmedAnswers)
        check.mapped().add(answer.request, answer.sentAt, answer.promptParts);
    m_metrics.count("stagepost_upstream_ends_total");
    logEvent(LogLevel::Warning, "upstream-ended", { { "instance", check.mapped().instance }, { "evidence", evidence }, { "requests", check.mapped().requests.size() } });
    recordCrash(upstream, check.mapped());
    recordPartCrash(upstream, check.mapped());
}

void CrashDetector::recordCrash(UpstreamId upstream, PendingCheck const& check)
{
    for (auto const& [request, sentAt] : check.requests) {
        // Requests that were sent after the first answer broke off are accused as well.
        auto const brokenAt = std::max(check.since, sentAt);
        if (!m_suspects.recordCrash(request, upstream, brokenAt, brokenAt - sentAt))
            continue;
        logEvent(LogLevel::Info, "crash-evidence", { { "request", toHex(request.value()) }, { "source", "seen" }, { "instance", check.instance }, { "ends", m_suspects.crashCount(request) }, { "separate", m_suspects.separateCrashCount(request) }, { "guilty", m_suspects.isPoison(request) ? 1 : 0 } });
        m_hooks.evidenceChanged(request);
    }
}

void CrashDetector::recordPartCrash(UpstreamId upstream, PendingCheck const& check)
{
    for (auto const part : check.promptParts) {
        if (!m_partSuspects.recordCrash(part, upstream, m_loop.now()))
            continue;
        logPartEvidence(m_partSuspects, part, "seen", check.instance, m_loop.now());
        m_hooks.partEvidenceChanged(part);
    }
}

void CrashDetector::promptAnswered(std::span<Fingerprint const> parts, Instant sentAt)
{
    for (auto const part : m_partSuspects.recordAnswer(parts, sentAt)) {
        logPartEvidence(m_partSuspects, part, "answered", "", m_loop.now());
        m_hooks.partEvidenceChanged(part);
    }
}

void CrashDetector::requestAnswered(Fingerprint request)
{
    if (!m_suspects.recordSuccess(request, m_loop.now()))
        return;
    logEvent(LogLevel::Info, "crash-evidence-cleared", { { "request", toHex(request.value()) }, { "source", "answered" } });
    m_hooks.evidenceChanged(request);
}

void CrashDetector::tick()
{
    auto const now = m_loop.now();
    std::erase_if(m_pendingChecks, [now](auto const& entry) { return !entry.second.isProbing && now - entry.second.since > pendingCheckTimeout; });
    for (auto entry = m_pendingChecks.begin(); entry != m_pendingChecks.end();) {
        auto& [upstream, check] = *entry++;
        if (finishIfPortClosed(upstream, check))
            continue;
        if (!check.isProbing && !check.isPortClosed && check.probes < maxProbes && now >= check.nextProbeAt)
            probe(upstream, check);
    }
}

}
