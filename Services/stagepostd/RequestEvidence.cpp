#include <stagepostd/RequestEvidence.h>

#include <LibBase/Hex.h>
#include <algorithm>

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
    auto const due = dueTrials();
    auto const next = std::find_if(due.begin(), due.end(), [this](auto subject) { return !m_trials.contains(subject); });
    if (next == due.end())
        return callback();
    m_services.peers.crashEvidence().requestTrial(*next, [this, callback, subject = *next](std::unique_ptr<CrashTrial> trial) {
        if (!trial)
            return callback();
        m_trials.emplace(subject, std::move(trial));
        tryIfDue(callback);
    });
}

std::vector<Fingerprint> RequestEvidence::dueTrials() const
{
    std::vector<Fingerprint> subjects;
    auto const now = m_services.loop.now();
    if (!m_services.partSuspects.evidence().isEmpty() && m_services.partSuspects.admit(sharedParts(), now) == PromptPartSuspects::Admission::Trial)
        subjects = m_services.partSuspects.trialSubjects(sharedParts(), now);
    auto const trialAt = isPoison() ? m_services.crashDetector.nextTrialAt(fingerprint()) : std::nullopt;
    if (trialAt && now >= *trialAt)
        subjects.push_back(fingerprint());
    return subjects;
}

bool RequestEvidence::hasTrials(std::vector<Fingerprint> const& subjects) const
{
    return std::all_of(subjects.begin(), subjects.end(), [this](auto subject) { return m_trials.contains(subject); });
}

void RequestEvidence::setTrialOutcome(TrialOutcome outcome)
{
    if (m_trials.empty())
        return;
    m_services.partSuspects.recordTrial(sharedParts(), m_services.loop.now());
    for (auto const& [subject, trial] : m_trials)
        trial->setOutcome(outcome);
}

bool RequestEvidence::isPoison() const
{
    return m_services.crashDetector.hasSuspects() && m_services.crashDetector.isPoison(fingerprint());
}

std::optional<Refusal> RequestEvidence::refusal(Verdict verdict) const
{
    auto refusal = requestRefusal(verdict);
    return refusal ? refusal : partRefusal(verdict);
}

// A caller's retry has a new id, so only the fingerprint shows that the same request has crashed
// upstreams before. Without this check it would crash another one.
std::optional<Refusal> RequestEvidence::requestRefusal(Verdict verdict) const
{
    if (!isPoison() || m_trials.contains(fingerprint()))
        return {};
    if (m_services.crashDetector.isProven(fingerprint()))
        return Refusal { RefusalReason::EndsUpstreams, Verdict::mayHaveRun, "upstreams have ended under this request: it goes to none any more", {} };
    auto const now = m_services.loop.now();
    auto const pause = std::max(minTrialPause, std::chrono::duration_cast<Milliseconds>(m_services.crashDetector.nextTrialAt(fingerprint()).value_or(now) - now));
    return Refusal { RefusalReason::EndsUpstreams, verdict, "upstreams have ended together under this request: it is tried before more of it are sent", pause };
}

std::optional<Refusal> RequestEvidence::partRefusal(Verdict verdict) const
{
    auto const& suspects = m_services.partSuspects;
    auto const now = m_services.loop.now();
    if (suspects.evidence().isEmpty() || suspects.admit(sharedParts(), now) == PromptPartSuspects::Admission::Granted || hasTrials(suspects.trialSubjects(sharedParts(), now)))
        return {};
    auto const pause = std::chrono::duration_cast<Milliseconds>(suspects.timeToTrial(sharedParts(), now));
    return Refusal { RefusalReason::EndsUpstreams, verdict, "upstreams have ended under requests with a part of this prompt: they go to none any more", pause };
}

bool RequestEvidence::mayCrashUpstreams() const
{
    return !m_trials.empty() || m_services.partSuspects.mayCrashAgain(sharedParts());
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
    bool const isBroken = result.failure == RefusalReason::UpstreamBroken && result.verdict == Verdict::mayHaveRun;
    if (!result.verdict.isNotRun())
        setTrialOutcome(isBroken ? TrialOutcome::Broken : TrialOutcome::Sent);
    if (!isBroken)
        return;
    if (auto const request = brokenRequest(upstream, sentAt))
        m_services.crashDetector.requestBroken(*request);
}

void RequestEvidence::answerCompleted(UpstreamId upstream, ForwardResult const& result, bool isStream, Instant sentAt)
{
    constexpr unsigned firstRedirect = 300;
    constexpr unsigned firstServerError = 500;
    setTrialOutcome(TrialOutcome::Sent);
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
