#include <stagepostd/CrashEvidenceSharing.h>

#include <LibBase/Hex.h>
#include <LibBase/Log.h>
#include <stagepostd/PartEvidenceLog.h>
#include <utility>

namespace Stagepost {

namespace {

    // Parts that have been answered before are usually answered again within this time.
    constexpr Milliseconds answeredPartDelay { 500 };
    // Three messages on the way to a daemon take less time than verdicts on such parts wait.
    constexpr Milliseconds answeredPartInterval { 300 };
    // The evidence about a few parts to the relays of a large fleet; it is sent only while upstreams crash.
    constexpr double partBytesPerSecond { 3000 };
    constexpr double maxPartBurstBytes { 16000 };
    // Another daemon answers within milliseconds after this one has joined.
    constexpr Milliseconds maxPartWait { 400 };

    CrashExchange::Bounds partBounds()
    {
        CrashExchange::Bounds bounds;
        // Most prompts share parts that are answered all the time.
        bounds.areAnswersFleetWide = false;
        bounds.answersWithoutSuspects = true;
        bounds.answeredInterval = answeredPartInterval;
        bounds.bytesPerSecond = partBytesPerSecond;
        bounds.maxBurstBytes = maxPartBurstBytes;
        return bounds;
    }

}

CrashEvidenceSharing::CrashEvidenceSharing(EventLoop& loop, CrashSuspects& suspects, PromptPartSuspects& partSuspects, Hooks hooks)
    : m_loop(loop)
    , m_suspects(suspects)
    , m_partSuspects(partSuspects)
    , m_hooks(std::move(hooks))
    , m_startedAt(loop.now())
    , m_waitingForPartsTimer(loop)
{
}

void CrashEvidenceSharing::join(FleetPeer const& self)
{
    m_exchange = std::make_unique<CrashExchange>(self, m_suspects, CrashExchange::Bounds {}, exchangeHooks(PeerMessageKind::Crashes));
    m_partExchange = std::make_unique<CrashExchange>(self, m_partSuspects.evidence(), partBounds(), exchangeHooks(PeerMessageKind::PartCrashes));
    // Kept when the daemon joins again with another key, since requests may wait for answers.
    if (!m_trials)
        m_trials = std::make_shared<TrialExchange>(self, TrialExchange::Bounds {}, TrialExchange::Hooks { [this](VMId to, std::string const& body) { m_hooks.send(to, PeerMessageKind::Trials, body); }, m_hooks.random });
}

CrashExchange::Hooks CrashEvidenceSharing::exchangeHooks(PeerMessageKind kind) const
{
    return { [this, kind](VMId to, std::string const& body) { m_hooks.send(to, kind, body); }, m_hooks.relays, m_hooks.subscribers };
}

void CrashEvidenceSharing::setPeers(std::vector<FleetPeer> const& peers)
{
    if (!m_exchange)
        return;
    m_exchange->setPeers(peers, m_loop.now());
    m_partExchange->setPeers(peers, m_loop.now());
    m_trials->setPeers(peers);
}

void CrashEvidenceSharing::tick()
{
    m_exchange->tick(m_loop.now());
    m_partExchange->tick(m_loop.now());
    m_trials->tick(m_loop.now());
}

bool CrashEvidenceSharing::receive(PeerMessageKind kind, VMId from, std::string_view body)
{
    if (!m_exchange)
        return true;
    if (kind == PeerMessageKind::Crashes)
        return receiveCrashes(from, body);
    if (kind == PeerMessageKind::PartCrashes)
        return receivePartCrashes(from, body);
    return receiveTrial(from, body);
}

bool CrashEvidenceSharing::receiveCrashes(VMId from, std::string_view body)
{
    auto const changedRequests = m_exchange->receive(from, body, m_loop.now());
    if (!changedRequests)
        return false;
    for (auto const request : *changedRequests)
        logEvent(LogLevel::Info, "crash-evidence", { { "request", toHex(request.value()) }, { "source", "told" }, { "peer", m_hooks.nameOf(from) }, { "ends", m_suspects.crashCount(request) }, { "separate", m_suspects.separateCrashCount(request) }, { "guilty", m_suspects.isPoison(request) ? 1 : 0 } });
    return true;
}

// This daemon may know of answers that the sender does not.
bool CrashEvidenceSharing::receivePartCrashes(VMId from, std::string_view body)
{
    auto const now = m_loop.now();
    auto const changedParts = m_partExchange->receive(from, body, now);
    if (!changedParts)
        return false;
    for (auto const part : *changedParts) {
        if (m_partSuspects.applyOwnAnswer(part))
            sharePart(part);
        logPartEvidence(m_partSuspects, part, "told", m_hooks.nameOf(from), now);
    }
    if (arePartsKnown())
        resumeWaitingForParts();
    return true;
}

bool CrashEvidenceSharing::receiveTrial(VMId from, std::string_view body)
{
    return m_trials->receive(from, body, m_loop.now()).has_value();
}

void CrashEvidenceSharing::shareRequest(Fingerprint request)
{
    if (m_exchange)
        m_exchange->announce(request, m_loop.now());
}

void CrashEvidenceSharing::sharePart(Fingerprint part)
{
    if (!m_partExchange)
        return;
    auto const* suspect = m_partSuspects.evidence().find(part);
    if (suspect && suspect->clearedAt && !suspect->crashes.empty())
        m_partExchange->announceUnlessCleared(part, answeredPartDelay, m_loop.now());
    else
        m_partExchange->announce(part, m_loop.now());
}

bool CrashEvidenceSharing::arePartsKnown() const
{
    return (m_partExchange && m_partExchange->hasHeard()) || m_loop.now() - m_startedAt >= maxPartWait;
}

void CrashEvidenceSharing::whenPartsAreKnown(std::function<void()> callback)
{
    if (arePartsKnown())
        return callback();
    m_waitingForParts.push_back(std::move(callback));
    if (m_waitingForParts.size() == 1)
        m_waitingForPartsTimer.once(maxPartWait, [this] { resumeWaitingForParts(); });
}

void CrashEvidenceSharing::resumeWaitingForParts()
{
    m_waitingForPartsTimer.cancel();
    for (auto const& resume : std::exchange(m_waitingForParts, {}))
        resume();
}

void CrashEvidenceSharing::requestTrial(Fingerprint subject, TrialCallback callback)
{
    if (!m_trials)
        return callback(nullptr);
    auto const begin = [this, callback = std::move(callback), subject](std::optional<uint64_t> number) {
        if (!number)
            return callback(nullptr);
        logEvent(LogLevel::Info, "crash-trial", { { "subject", toHex(subject.value()) } });
        // Requests may end after this object.
        auto end = [trials = std::weak_ptr(m_trials), &loop = m_loop, number = *number](TrialOutcome outcome) {
            if (auto const exchange = trials.lock())
                exchange->end(number, outcome, loop.now());
        };
        callback(std::make_unique<CrashTrial>(std::move(end)));
    };
    m_trials->request(subject, begin, m_loop.now());
}

}
