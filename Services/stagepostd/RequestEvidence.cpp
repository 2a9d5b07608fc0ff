#include <stagepostd/RequestEvidence.h>

#include <LibBase/Hex.h>

namespace Stagepost {

namespace {

    // Most trials are answered within this time.
    constexpr Milliseconds minTrialPause { 250 };

}

RequestEvidence::RequestEvidence(GatewayServices const& services, HttpRequest const& call, RoutedRequest const& request, ServicePlacement const& placement)
    : m_services(services)
    , m_call(call)
    , m_request(request)
    , m_placement(placement)
{
}

void RequestEvidence::prepare(std::function<void()> const& callback)
{
    if (m_request.call.prompt.sharedParts().empty())
        return tryIfDue(callback);
    // A daemon that has just started does not know yet which parts crash upstreams.
    m_services.peers.crashEvidence().whenPartsAreKnown([this, callback] { tryIfDue(callback); });
}

void RequestEvidence::tryIfDue(std::function<void()> const& callback)
{
    auto const trialAt = isPoison() ? m_services.crashDetector.nextTrialAt(fingerprint()) : std::nullopt;
    if (!trialAt || m_services.loop.now() < *trialAt)
        return callback();
    m_services.peers.crashEvidence().requestTrial(fingerprint(), [this, callback](std::unique_ptr<CrashTrial> trial) {
        m_trial = std::move(trial);
        callback();
    });
}

bool RequestEvidence::isPoison() const
{
    return m_services.crashDetector.hasSuspects() && m_services.crashDetector.isPoison(fingerprint());
}

std::optional<Refusal> RequestEvidence::refusal(Verdict verdict)
{
    if (auto refusal = requestRefusal(verdict))
        return refusal;
    if (!hasPoisonPart())
        return {};
    auto const pause = std::chrono::duration_cast<Milliseconds>(m_services.partSuspects.timeToTrial(sharedParts(), m_services.loop.now()));
    return Refusal { RefusalReason::EndsUpstreams, verdict, "upstreams have ended under requests with a part of this prompt: they go to none any more", pause };
}

// A caller's retry has a new id, so only the fingerprint shows that the same request has crashed
// upstreams before. Without this check it would crash another one.
std::optional<Refusal> RequestEvidence::requestRefusal(Verdict verdict) const
{
    if (m_trial || !isPoison())
        return {};
    if (m_services.crashDetector.isProven(fingerprint()))
        return Refusal { RefusalReason::EndsUpstreams, Verdict::mayHaveRun, "upstreams have ended under this request: it goes to none any more", {} };
    auto const now = m_services.loop.now();
    auto const pause = std::max(minTrialPause, std::chrono::duration_cast<Milliseconds>(m_services.crashDetector.nextTrialAt(fingerprint()).value_or(now) - now));
    return Refusal { RefusalReason::EndsUpstreams, verdict, "upstreams have ended together under this request: it is tried before more of it are sent", pause };
}

bool RequestEvidence::hasPoisonPart()
{
    if (m_isPartTrial || m_services.partSuspects.evidence().isEmpty())
        return false;
    auto const admission = m_services.partSuspects.admit(sharedParts(), m_services.loop.now());
    m_isPartTrial = admission == PromptPartSuspects::Admission::Trial;
    return admission == PromptPartSuspects::Admission::Denied;
}

bool RequestEvidence::mayCrashUpstreams() const
{
    return m_trial || m_isPartTrial || m_services.partSuspects.mayCrashAgain(sharedParts());
}

bool RequestEvidence::isSuspect() const
{
    if (m_services.crashDetector.hasSuspects() && m_services.crashDetector.isSuspect(fingerprint()))
        return true;
    return m_services.partSuspects.mayCrashAgain(sharedParts());
}

// None if the upstream is gone or may have crashed under its load.
std::optional<CrashDetector::BrokenRequest> RequestEvidence::brokenRequest(UpstreamId upstream, Instant sentAt) const
{
    auto const* target = m_services.serviceTable.target(upstream);
    if (!target || m_placement.mayHaveCrashedUnderLoad(upstream, m_services.loop.now()))
        return {};
    return CrashDetector::BrokenRequest { fingerprint(), upstream, target->instance, target->endpoint, sentAt, sharedParts() };
}

void RequestEvidence::sendFailed(UpstreamId upstream, ForwardResult const& result, Instant sentAt)
{
    if (m_trial && !result.verdict.isNotRun())
        m_trial->sent();
    if (result.failure != RefusalReason::UpstreamBroken || result.verdict != Verdict::mayHaveRun)
        return;
    if (auto const request = brokenRequest(upstream, sentAt))
        m_services.crashDetector.requestBroken(*request);
}

void RequestEvidence::answerCompleted(UpstreamId upstream, ForwardResult const& result, bool isStream, Instant sentAt)
{
    constexpr unsigned firstRedirect = 300;
    constexpr unsigned firstServerError = 500;
    if (m_trial)
        m_trial->sent();
    if (result.status >= firstServerError)
        return;
    if (result.endedWithConnection) {
        auto const request = isStream ? brokenRequest(upstream, sentAt) : std::nullopt;
        if (request)
            m_services.crashDetector.answerEndedWithConnection(*request);
        return;
    }
    if (m_services.crashDetector.hasSuspects())
        m_services.crashDetector.requestAnswered(fingerprint());
    if (result.status < firstRedirect)
        m_services.crashDetector.promptAnswered(sharedParts(), sentAt);
}

Fingerprint RequestEvidence::fingerprint() const
{
    if (!m_fingerprint)
        m_fingerprint = m_services.fingerprintOf({ m_request.organisation, m_call.method, m_call.headers.find("Host"), m_call.target, m_call.body });
    return *m_fingerprint;
}

std::vector<Fingerprint> const& RequestEvidence::sharedParts() const
{
    if (!m_sharedParts) {
        m_sharedParts.emplace();
        for (auto const& part : m_request.call.prompt.sharedParts())
            m_sharedParts->push_back(m_services.partFingerprintOf(m_request.service, part.idHash));
    }
    return *m_sharedParts;
}

std::string RequestEvidence::formatSharedParts() const
{
    std::string text;
    for (auto const part : sharedParts())
        text += (text.empty() ? "" : ",") + toHex(part.value());
    return text;
}

}
