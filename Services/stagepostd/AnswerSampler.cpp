#include <stagepostd/AnswerSampler.h>

namespace Stagepost {

namespace {

    constexpr unsigned firstServerError = 500;

}

AnswerSampler::AnswerSampler(GatewayServices const& services, RoutedRequest const& request, ServicePlacement const& placement, RequestEvidence const& evidence)
    : m_services(services)
    , m_request(request)
    , m_placement(placement)
    , m_evidence(evidence)
{
}

bool AnswerSampler::prepareSend(ServicePlacement::Choice const& choice, UpstreamRole role, bool isContextNew, uint64_t eventsBefore)
{
    m_prepared = {};
    if (!m_services.rollouts)
        return true;
    m_prepared.send = m_services.rollouts->startSend(choice.upstream, role, routeId());
    m_prepared.isContextNew = isContextNew;
    auto const forecast = m_placement.forecast(choice.upstream, m_services.loop.now());
    m_prepared.isUpstreamCold = forecast.isCold;
    // The owner's count is exact, but not all requests need a permit.
    auto const inFlight = choice.reason.owner.isNull() ? forecast.inFlight : static_cast<double>(choice.reason.counted);
    m_prepared.isUnderLoad = m_prepared.send && m_services.rollouts->isUnderLoad(*m_prepared.send, inFlight, m_placement.meanLoad());
    m_prepared.eventsBefore = eventsBefore;
    return m_prepared.send.has_value();
}

void AnswerSampler::cancelPreparedSend()
{
    if (m_prepared.send)
        m_services.rollouts->finishSend(*m_prepared.send);
    m_prepared = {};
}

void AnswerSampler::recordData(Instant now)
{
    if (!m_current.firstDataAt)
        m_current.firstDataAt = now;
}

void AnswerSampler::finishSend(UpstreamId upstream, ForwardResult const& result, Instant sentAt, uint64_t events)
{
    if (!m_services.rollouts || !m_current.send)
        return;
    auto const now = m_services.loop.now();
    AnswerSample sample;
    sample.route = routeId();
    sample.upstream = upstream;
    sample.outcome = outcomeOf(result, sentAt);
    sample.isStream = m_request.route->kind == RequestKind::Stream;
    sample.isContextNew = m_current.isContextNew;
    sample.isUpstreamCold = m_current.isUpstreamCold;
    sample.isUnderLoad = m_current.isUnderLoad;
    sample.firstByteTime = sample.isStream && m_current.firstDataAt ? *m_current.firstDataAt - sentAt : result.timeToResponseHeader;
    sample.totalTime = now - sentAt;
    sample.events = events - m_current.eventsBefore;
    auto* rollouts = m_services.rollouts;
    rollouts->finishSend(*m_current.send);
    bool const isRolledOut = rollouts->rollouts().contains(m_current.send->service);
    bool const mayBeLinks = !result.hasForeignBytes && (sample.outcome == AnswerOutcome::Broken || sample.outcome == AnswerOutcome::TimedOut);
    if (isRolledOut && mayBeLinks) {
        // When this daemon's links are lost, answers of any version break off before the loss is known.
        m_services.links.judgeFailure([rollouts, send = *m_current.send, sample, now](LinkState links) {
            if (links == LinkState::Up)
                rollouts->recordAnswer(send, sample, false, now);
        });
        return;
    }
    bool const isAnswered = sample.outcome == AnswerOutcome::Answered || sample.outcome == AnswerOutcome::Failed;
    rollouts->recordAnswer(*m_current.send, sample, isAnswered && !std::exchange(m_hasBeenAnswered, true), now);
}

AnswerOutcome AnswerSampler::outcomeOf(ForwardResult const& result, Instant sentAt) const
{
    if (!result.failure)
        return result.status >= firstServerError ? AnswerOutcome::Failed : AnswerOutcome::Answered;
    if (result.isCallerLost() || result.isUnconnected() || result.failure == RefusalReason::OverCapacity)
        return AnswerOutcome::Irrelevant;
    if (result.status >= firstServerError)
        return AnswerOutcome::Failed;
    // Neither lost links nor the request add bytes to an answer.
    if (result.hasForeignBytes)
        return AnswerOutcome::Broken;
    // Lost links break off answers of any version, and so may the request itself.
    if (m_services.links.wasLostSince(sentAt) || m_evidence.isSuspect())
        return AnswerOutcome::Irrelevant;
    if (result.deadlineReached || result.failure == RefusalReason::UpstreamSlow)
        return AnswerOutcome::TimedOut;
    return AnswerOutcome::Broken;
}

}
