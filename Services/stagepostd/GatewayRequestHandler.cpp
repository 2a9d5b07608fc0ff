#include <stagepostd/GatewayRequestHandler.h>

#include <LibBase/Hex.h>
#include <LibBase/Log.h>
#include <algorithm>
#include <stagepostd/AnswerCheck.h>
#include <stagepostd/ConnectionMetrics.h>
#include <stagepostd/DetourServer.h>
#include <stagepostd/EventNumberingLog.h>
#include <stagepostd/GatewayReply.h>
#include <stagepostd/IdleConnectionLimit.h>
#include <stagepostd/VersionGate.h>

namespace Stagepost {

namespace {

    constexpr unsigned firstServerError = 500;
    // Answers up to this size are held back until they are complete, so that one that breaks off can
    // be retried. Most answers have a few kilobytes.
    constexpr size_t maxHeldAnswerBytes = 64u << 10;

    // While upstreams change their roles during the placement of a request, it is placed again at most
    // so often. Roles change a few times in a roll-out.
    constexpr size_t maxRoleChanges = 4;

    // Each further placement asks the owners of upstreams again.
    constexpr size_t maxEndedProcesses = 3;

}

GatewayRequestHandler::GatewayRequestHandler(GatewayServices const& services, std::shared_ptr<Exchange> exchange, RoutedRequest request)
    : m_services(services)
    , m_exchange(std::move(exchange))
    , m_request(std::move(request))
    , m_service(services.serviceTable.service(m_request.service))
    , m_attempts(attemptLimitsOf(m_request), m_service.retries)
    , m_evidence(services, m_exchange->request(), m_request, m_service.placement)
    , m_sampler(services, m_request, m_service.placement, m_evidence)
    , m_places(services, m_service.placement)
    , m_progress(eventProgressOf(m_request))
    , m_stoppable(services, m_request, m_exchange)
{
    if (m_request.detour)
        m_streamVersion = m_request.detour->streamVersion;
}

void GatewayRequestHandler::start()
{
    if (m_request.call.namesReservedField)
        m_services.metrics.count("stagepost_reserved_fields_named_total");
    m_isCounted = m_request.detour && m_request.detour->isCounted;
    if (m_services.detours.isNeeded() && (!checkMaySend() || startDetour()))
        return;
    if (!std::exchange(m_isCounted, true))
        m_service.retries.recordRequest(m_services.loop.now());
    auto const occupancy = m_service.placement.occupancy();
    if (!m_service.gate.admits(occupancy, m_request.priority)) {
        refuse({ RefusalReason::QueueFull, NotRunProof::nothingSent(), "the service has fewer places than requests", m_service.gate.retryDelay(occupancy) });
        return;
    }
    m_evidence.prepare([self = shared_from_this()] {
        if (!self->endedWhileWaiting())
            self->admitAndPlace();
    });
}

void GatewayRequestHandler::admitAndPlace()
{
    if (needsStreamOrigin())
        findStreamOrigin();
    else
        chooseRoleAndPlace();
}

void GatewayRequestHandler::chooseRoleAndPlace()
{
    chooseRole();
    placeRequest();
}

bool GatewayRequestHandler::needsStreamOrigin() const
{
    // Without the attempt that began the stream no record is found, so that it goes on only if there is one version.
    return m_request.call.lastEvent && m_progress && m_request.route->isRepeatable() && !m_streamVersion;
}

void GatewayRequestHandler::findStreamOrigin()
{
    m_services.peers.streamOrigins().find(streamIdOf(m_request), m_request.service, [self = shared_from_this()](auto const& origin) { self->handleStreamOrigin(origin); });
}

// What two versions write does not fit together, so a stream is rather refused than continued at a
// version that may not have begun it.
void GatewayRequestHandler::handleStreamOrigin(StreamOriginExchange::Origin const& origin)
{
    reportStreamTakenUp(m_services.metrics, m_request.call.id, m_request.call.firstAttempt, origin);
    if (endedWhileWaiting())
        return;
    if (!origin.version) {
        auto const retryAfter = origin.isFinal ? std::nullopt : std::optional(m_attempts.retryAfter());
        refuse({ RefusalReason::NoUpstream, m_attempts.verdict(), "it can't be told at which version the stream has begun", retryAfter });
        return;
    }
    m_streamVersion = origin.version;
    chooseRoleAndPlace();
}

void GatewayRequestHandler::beginStream()
{
    if (!m_progress || !m_request.route->isRepeatable() || std::exchange(m_isStreamRecorded, true))
        return;
    m_streamVersion = VersionId::fromName(m_version);
    m_services.peers.streamOrigins().record(streamIdOf(m_request), m_request.service, *m_streamVersion, m_attempts.timeLeft(m_services.loop.now()) + ServiceTable::streamRecordMargin);
}

bool GatewayRequestHandler::needsVersion() const
{
    if (!m_progress || !m_request.route->isRepeatable())
        return false;
    auto const* versions = m_services.serviceTable.versions(m_request.service);
    return versions && !versions->uniformVersion(m_services.loop.now());
}

bool GatewayRequestHandler::mayHaveEnded(ServicePlacement::Choice const& choice, ServiceTable::Target const& target)
{
    if (!needsVersion() || !m_services.dropClosedConnections(target.endpoint))
        return false;
    m_service.placement.processMayHaveEnded(choice.upstream, m_services.loop.now());
    return m_endedProcesses++ < maxEndedProcesses;
}

Refusal GatewayRequestHandler::noVersionRefusal() const
{
    auto const* versions = m_services.serviceTable.versions(m_request.service);
    bool const hasJoinedUnseen = versions && versions->isYetUnseen(*m_streamVersion, m_services.loop.now());
    bool const isPresent = m_services.serviceTable.roleOfVersion(m_request.service, *m_streamVersion).has_value();
    auto const retryAfter = isPresent || hasJoinedUnseen ? std::optional(m_attempts.retryAfter()) : std::nullopt;
    return { RefusalReason::NoUpstream, m_attempts.verdict(), "no upstream of the version that has begun the stream takes requests", retryAfter };
}

void GatewayRequestHandler::chooseRole()
{
    if (!m_services.rollouts)
        return;
    auto const context = m_request.route->keepsContext ? m_request.call.prompt.sharedKey() : std::nullopt;
    m_role = m_services.rollouts->roleForRequest(m_request.service, routeId(), context);
}

bool GatewayRequestHandler::placeAtServingInstead()
{
    if (m_role != UpstreamRole::Candidate || m_streamVersion)
        return false;
    m_role = UpstreamRole::Serving;
    placeRequest();
    return true;
}

// A request that another daemon has passed on is not passed on again, so that it cannot circulate
// among daemons without links.
bool GatewayRequestHandler::startDetour()
{
    if (!m_services.detours.isNeeded())
        return false;
    if (m_request.detour) {
        refuse({ RefusalReason::NoUpstream, m_attempts.verdict(), "this daemon has just lost its links to the upstreams", m_attempts.retryAfter() });
        return true;
    }
    m_services.detours.start({ m_exchange, m_request, m_attempts, m_progress, m_isCounted, m_streamVersion, [self = shared_from_this()] { return !self->endedWhileWaiting(); }, [self = shared_from_this()](DetourOutcome const& outcome) { self->handleDetourOutcome(outcome); } });
    return true;
}

void GatewayRequestHandler::handleDetourOutcome(DetourOutcome const& outcome)
{
    m_detour = outcome.daemon;
    auto const& result = outcome.result;
    if (m_detour.empty() && m_attempts.connectFailures()) {
        refuse({ RefusalReason::NoUpstream, m_attempts.verdict(), "this daemon reaches no upstream and no daemon that does", m_attempts.retryAfter() });
    } else if (m_detour.empty() && needsStreamOrigin()) {
        // No other daemon was asked, so none has found out at which version the stream has begun.
        findStreamOrigin();
    } else if (m_detour.empty()) {
        placeHere();
    } else if (!result.failure) {
        m_attempts.recordResponse();
        m_stoppable.answered();
        m_services.metrics.count("stagepost_answers_total");
        log("answered", result, "none", m_attempts.verdict());
    } else if (outcome.refusal && !result.isCallerLost() && !result.responseStarted) {
        refuse({ outcome.refusal->reason, m_attempts.verdict(), result.detail, outcome.refusal->retryAfter });
    } else {
        failRequest(result);
    }
}

void GatewayRequestHandler::placeRequest()
{
    if (checkMaySend() && !startDetour())
        placeHere();
}

void GatewayRequestHandler::placeHere()
{
    m_isContextNew = false;
    if (m_streamVersion) {
        auto const role = m_services.serviceTable.roleOfVersion(m_request.service, *m_streamVersion);
        if (!role)
            return refuse(noVersionRefusal());
        m_role = *role;
    }
    m_places.find({ makePlacementRequest(), m_request.route->keepsContext, [self = shared_from_this()] { return !self->endedWhileWaiting(); }, [self = shared_from_this()](PlaceFinder::Outcome&& outcome) { self->handlePlace(std::move(outcome)); } });
}

void GatewayRequestHandler::handlePlace(PlaceFinder::Outcome&& outcome)
{
    m_place = std::move(outcome.place);
    m_isContextNew = outcome.isContextNew;
    if (!outcome.isFull)
        send(outcome.choice);
    else if (!placeAtServingInstead())
        refuse(loadBoundRefusal());
}

bool GatewayRequestHandler::checkMaySend()
{
    auto const refusal = refusalBeforeSend();
    if (refusal)
        refuse(*refusal);
    return !refusal;
}

std::optional<Refusal> GatewayRequestHandler::refusalBeforeSend()
{
    if (m_request.needsKey && !m_services.areKeysFresh())
        return Refusal { RefusalReason::SettingsTooOld, m_attempts.verdict(), "the configuration is too old to tell whether the key is good", m_attempts.retryAfter() };
    if (m_services.needsRevalidation())
        return Refusal { RefusalReason::SettingsTooOld, m_attempts.verdict(), "this daemon stood still and has not learnt yet what has changed", m_attempts.retryAfter() };
    if (m_attempts.isOver(m_services.loop.now()))
        return Refusal { RefusalReason::DeadlinePassed, m_attempts.verdict(), "no time is left for an upstream to answer", {} };
    if (!m_stoppable.maySend())
        return Refusal { RefusalReason::Draining, m_attempts.verdict(), "this daemon is about to stop, and the request may take longer", {} };
    return m_evidence.refusal(m_attempts.verdict());
}

ServicePlacement::Request GatewayRequestHandler::makePlacementRequest() const
{
    ServicePlacement::Request placementRequest;
    if (m_request.route->keepsContext)
        placementRequest.context = m_request.call.prompt.sharedKey();
    placementRequest.excluded = m_attempts.failedUpstreams();
    placementRequest.isRepeatable = m_request.route->isRepeatable();
    placementRequest.priority = m_request.priority;
    placementRequest.role = m_role;
    placementRequest.version = m_streamVersion;
    if (needsVersion())
        placementRequest.versionsProvenAt = m_services.upstreamsProvenAt();
    return placementRequest;
}

// Waiting for other daemons takes some milliseconds, in which the conditions for sending may change.
bool GatewayRequestHandler::endedWhileWaiting()
{
    if (m_exchange->isClientDisconnected()) {
        m_place.release();
        m_services.metrics.countRefusal({ RefusalReason::CallerGone, m_attempts.verdict(), "the caller left before its request was sent", {} });
        log("caller-gone", {}, nameOf(RefusalReason::CallerGone), m_attempts.verdict());
        return true;
    }
    if (checkMaySend())
        return false;
    m_place.release();
    return true;
}

void GatewayRequestHandler::send(std::optional<ServicePlacement::Choice> const& choice)
{
    auto const* target = choice ? m_services.serviceTable.target(choice->upstream) : nullptr;
    if (target && mayHaveEnded(*choice, *target)) {
        m_place.release();
        return placeRequest();
    }
    if (target && m_sampler.prepareSend(*choice, m_role, m_isContextNew, eventCount())) {
        m_sampler.startSend();
        return forward(*choice, *target);
    }
    m_place.release();
    if (placeAtServingInstead())
        return;
    // The role of the chosen upstream has changed since it was chosen.
    if (target && m_roleChanges++ < maxRoleChanges)
        return placeRequest();
    refuseUnreachable(m_lastFailure.value_or(noUpstreamRefusal()));
}

Refusal GatewayRequestHandler::loadBoundRefusal() const
{
    auto const pause = m_service.gate.retryDelay(m_service.placement.occupancy());
    return { RefusalReason::QueueFull, m_attempts.verdict(), "the few upstreams that take requests hold what the load multiple allows", pause };
}

Refusal GatewayRequestHandler::noUpstreamRefusal() const
{
    if (m_streamVersion)
        return noVersionRefusal();
    if (m_service.placement.isBrittle(m_services.loop.now()))
        return loadBoundRefusal();
    if (m_service.placement.hasCold(m_services.loop.now()))
        return { RefusalReason::QueueFull, m_attempts.verdict(), "the upstreams that are left have just started and take no more by now", std::chrono::duration_cast<Milliseconds>(coldStartWindow) };
    if (m_service.placement.backingOffCount(m_services.loop.now()))
        return { RefusalReason::QueueFull, m_attempts.verdict(), "the upstreams that are left want rest", m_attempts.retryAfter() };
    return { RefusalReason::NoUpstream, m_attempts.verdict(), "no upstream of the service is known", m_attempts.retryAfter() };
}

GatewaySend GatewayRequestHandler::buildSend(ServicePlacement::Choice const& choice, ServiceTable::Target const& target, Service const* service, Instant now)
{
    GatewaySend send;
    send.instance = target.instance;
    send.organisation = m_request.organisation;
    send.priority = m_request.priority;
    send.timeLeft = m_attempts.timeLeft(now);
    send.lastEvent = m_progress ? m_progress->lastId() : m_request.call.lastEvent;
    auto const* source = choice.contextSource ? m_services.serviceTable.target(*choice.contextSource) : nullptr;
    if (service && service->movesContexts && source)
        send.contextSource = source->endpoint.toString();
    m_contextSource = send.contextSource ? source->instance : std::string();
    return send;
}

ForwardPlan GatewayRequestHandler::buildForwardPlan(ServicePlacement::Choice const& choice, ServiceTable::Target const& target, Instant now)
{
    auto const timeouts = m_attempts.timeouts(sizeForRetry(now), m_service.placement.waitBounds(m_request.call.prompt.tokens()), now);
    auto const* service = m_request.table->service(m_request.service);
    ForwardPlan plan;
    plan.upstream = target.endpoint;
    plan.request = m_services.dialect.writeCall(m_exchange->request(), buildSend(choice, target, service, now));
    plan.endToEndFields = m_services.dialect.endToEndResponseFields;
    plan.removedResponseFields = DetourServer::markFields;
    plan.requestIdField = m_services.dialect.idField;
    plan.requestId = m_request.call.id;
    plan.preserveHost = true;
    plan.connectTimeout = timeouts.connect;
    plan.responseHeaderTimeout = timeouts.firstByte;
    plan.idleTimeout = timeouts.betweenParts;
    plan.requireNewConnection = m_attempts.needsFreshConnection(choice);
    plan.maxIdleConnections = std::min(plan.maxIdleConnections, idleConnectionLimit(service, m_services.share()));
    plan.maxBufferedBytes = maxHeldAnswerBytes;
    plan.progress = m_progress;
    plan.eventFormat = m_services.serviceTable.eventNumberings().formatFor({ m_request.service, target.version }, m_services.dialect.eventFormat);
    plan.relayGate = needsVersion() ? versionGate(m_services, choice.upstream, target) : RelayGate();
    plan.sendErrorEvent = false;
    plan.deadline = m_attempts.deadline();
    return plan;
}

void GatewayRequestHandler::forward(ServicePlacement::Choice const& choice, ServiceTable::Target const& target)
{
    auto const upstream = choice.upstream;
    auto const now = m_services.loop.now();
    m_attempts.recordSend();
    auto plan = buildForwardPlan(choice, target, now);
    plan.responseFilter = [weak = weak_from_this(), upstream](unsigned status, HttpFields const& headers) -> std::optional<ResponseRejection> {
        auto const handler = weak.lock();
        return handler ? handler->checkResponseHeader(upstream, status, headers) : std::nullopt;
    };
    plan.onUpstreamActivity = [weak = weak_from_this(), upstream](UpstreamActivity activity) {
        if (auto const handler = weak.lock())
            handler->recordActivity(upstream, activity);
    };
    plan.onSilence = [weak = weak_from_this(), upstream] {
        if (auto const handler = weak.lock())
            handler->handleSilence(upstream);
    };
    m_instance = target.instance;
    m_version = target.version;
    m_placementReason = choice.reason;
    m_remainingBackoff = m_service.placement.remainingBackoff(upstream, now);
    m_sentAt = m_lastActivityAt = now;
    m_service.placement.started(upstream);
    m_services.serviceTable.silence().sent(upstream, target.hall, now);
    m_exchange->forward(std::move(plan), [self = shared_from_this(), upstream](ForwardResult const& result) {
        self->handleForwardResult(upstream, result);
    });
}

void GatewayRequestHandler::recordActivity(UpstreamId upstream, UpstreamActivity activity)
{
    auto const now = m_services.loop.now();
    m_move.reset();
    auto& silence = m_services.serviceTable.silence();
    switch (activity) {
    case UpstreamActivity::Connected:
        silence.connected(upstream, now);
        m_services.links.connected();
        break;
    case UpstreamActivity::ResponseStarted:
        silence.answerStarted(upstream, now - m_lastActivityAt, now);
        break;
    case UpstreamActivity::ResponseHeldBack:
        silence.answerHeldBack(upstream, now);
        break;
    case UpstreamActivity::ResponseDataReceived:
        m_sampler.recordData(now);
        silence.answerContinued(upstream, now - m_lastActivityAt, now);
        break;
    case UpstreamActivity::FirstEventReceived:
        beginStream();
        break;
    }
    m_lastActivityAt = now;
}

std::optional<ResponseRejection> GatewayRequestHandler::checkResponseHeader(UpstreamId upstream, unsigned status, HttpFields const& headers)
{
    auto const now = m_services.loop.now();
    auto const response = m_services.dialect.readResponseHeader(status, headers, m_instance);
    if (response.load)
        m_service.placement.reported(upstream, *response.load, now);
    if (response.coldLeft)
        m_services.serviceTable.markCold(upstream, *response.coldLeft, now);
    if (response.backoff)
        handleBackoffRequest(upstream, *response.backoff);
    m_service.placement.brittlenessAnnounced(upstream, response.isBrittle, now);
    if (response.isLeaving)
        m_services.serviceTable.markLeaving(upstream, now);
    if (response.notRun)
        return ResponseRejection { RefusalReason::OverCapacity, *response.notRun, "the upstream has not run the request" };
    if (auto rejection = checkAnswer(response, status, { m_request.route->isRepeatable(), m_progress && m_progress->isHeaderSent }))
        return rejection;
    if (status >= firstServerError && couldSendAgain())
        return ResponseRejection { RefusalReason::UpstreamBroken, Verdict::ran, "the upstream answered " + std::to_string(status) };
    return {};
}

size_t GatewayRequestHandler::sizeForRetry(Instant now) const
{
    if (m_streamVersion)
        return m_service.placement.sizeForRetry(m_attempts.failedUpstreams(), now, m_role, m_streamVersion);
    // A candidate is not among the upstreams that are counted, and retries go to the others.
    size_t const current = m_role == UpstreamRole::Candidate ? 1 : 0;
    return m_service.placement.sizeForRetry(m_attempts.failedUpstreams(), now) + current;
}

bool GatewayRequestHandler::couldSendAgain() const
{
    auto const now = m_services.loop.now();
    return m_stoppable.maySend() && m_attempts.couldSendAgain(sizeForRetry(now), now);
}

void GatewayRequestHandler::handleBackoffRequest(UpstreamId upstream, Milliseconds duration)
{
    m_service.placement.backoffRequested(upstream, duration, m_services.loop.now());
    m_services.metrics.count("stagepost_upstream_rests_total", "service=\"" + m_request.service + '"');
    logEvent(LogLevel::Info, "upstream-rests", { { "instance", m_instance }, { "service", m_request.service }, { "id", m_request.call.id }, { "rest_ms", duration.count() } });
}

void GatewayRequestHandler::recordOutcome(UpstreamId upstream, ForwardResult const& result)
{
    auto const now = m_services.loop.now();
    countForwardEnd(m_services.metrics, result);
    auto const outcome = [&] {
        if (result.isCallerLost())
            return SendOutcome::Unknown;
        if (!result.failure)
            return result.status >= firstServerError ? SendOutcome::Failed : SendOutcome::Succeeded;
        if (result.failure == RefusalReason::OverCapacity)
            return SendOutcome::Refused;
        if (result.isUnconnected())
            return SendOutcome::ConnectFailed;
        if (result.verdict == Verdict::ran)
            return SendOutcome::Failed;
        return m_services.links.wasLostSince(m_sentAt) ? SendOutcome::Unknown : SendOutcome::NoUsableAnswer;
    }();
    if (outcome == SendOutcome::ConnectFailed) {
        m_services.serviceTable.silence().connectFailed(upstream);
        if (!result.deadlineReached)
            m_services.links.connectFailed(upstream);
    }
    if (outcome == SendOutcome::ConnectFailed || outcome == SendOutcome::NoUsableAnswer)
        m_service.placement.processMayHaveEnded(upstream, now);
    // The time to the first byte measures the upstream. The total time of a stream measures only the
    // length of the answer.
    m_service.placement.finished(upstream, outcome, result.timeToResponseHeader, now - m_sentAt, now);
    m_place.release();
    m_services.serviceTable.silence().ended(upstream, now);
    m_sampler.finishSend(upstream, result, m_sentAt, eventCount());
    if (m_progress)
        learnNumbering(m_services.serviceTable.eventNumberings(), { m_request.service, m_version }, upstream, result, *m_progress);
}

void GatewayRequestHandler::handleForwardResult(UpstreamId upstream, ForwardResult const& result)
{
    if (m_stoppable.isGivenUp(result))
        return result.responseStarted ? failRequest(result) : refuse({ RefusalReason::Draining, combine(m_attempts.verdict(), result.verdict), "this daemon stops before the upstream has answered", {} });
    recordOutcome(upstream, result);
    auto const move = std::exchange(m_move, nullptr);
    if (move && move->isGranted() && result.failure == RefusalReason::UpstreamSlow && !result.deadlineReached)
        return finishMove(upstream, *move, result);
    // The answer's end came first.
    m_sampler.cancelPreparedSend();
    if (!result.failure) {
        m_service.placement.recordFirstByteWait(m_request.call.prompt.tokens(), result.timeToResponseHeader);
        m_attempts.recordResponse();
        m_stoppable.answered();
        m_evidence.answerCompleted(upstream, result, m_progress != nullptr, m_sentAt);
        m_services.metrics.count("stagepost_answers_total");
        log("answered", result, "none", m_attempts.verdict());
        return;
    }
    m_evidence.sendFailed(upstream, result, m_sentAt);
    FailedAttempt attempt;
    attempt.verdict = result.verdict;
    attempt.isUnconnected = result.isUnconnected();
    attempt.isRejected = result.verdict.isNotRun() && result.failure == RefusalReason::OverCapacity;
    attempt.deadlinePassed = result.deadlineReached;
    attempt.isCallerLost = result.isCallerLost();
    attempt.cannotBeContinued = !result.canBeContinued;
    attempt.mayCrashUpstreams = !attempt.verdict.isNotRun() && m_evidence.mayCrashUpstreams();
    if (m_attempts.recordFailure(upstream, attempt, m_services.loop.now())) {
        recordRetry(result);
        placeRequest();
        return;
    }
    failRequest(result);
}

// A sound upstream that is silent would go on, so the request leaves it only for a place that is granted, with
// a retry that is taken. Otherwise it waits on, and this is called again after the next such time.
void GatewayRequestHandler::handleSilence(UpstreamId silent)
{
    auto const now = m_services.loop.now();
    if (m_move || m_evidence.mayCrashUpstreams())
        return;
    auto retry = m_attempts.reserveMove(sizeForRetry(now), now);
    if (!retry)
        return;
    m_move = std::make_shared<Move>(std::move(*retry));
    auto const isWanted = [self = shared_from_this(), move = std::weak_ptr(m_move)] { return self->isMoveWanted(move.lock()); };
    if (m_services.detours.isNeeded())
        findDetourForMove(isWanted);
    else
        findPlaceForMove(silent, isWanted);
}

// Waiting for other daemons takes some milliseconds, in which the upstream may go on.
bool GatewayRequestHandler::isMoveWanted(std::shared_ptr<Move> const& move)
{
    if (!move || m_move != move)
        return false;
    if (refusalBeforeSend())
        m_move.reset();
    return m_move != nullptr;
}

void GatewayRequestHandler::findPlaceForMove(UpstreamId silent, std::function<bool()> const& isWanted)
{
    auto const role = m_streamVersion ? m_services.serviceTable.roleOfVersion(m_request.service, *m_streamVersion) : UpstreamRole::Serving;
    if (!role)
        return m_move.reset();
    auto request = makePlacementRequest();
    request.excluded.push_back(silent);
    request.role = *role;
    m_places.find({ std::move(request), m_request.route->keepsContext, isWanted, [self = shared_from_this(), role = *role](PlaceFinder::Outcome&& outcome) { self->grantMove(std::move(outcome), role); } });
}

void GatewayRequestHandler::grantMove(PlaceFinder::Outcome&& outcome, UpstreamRole role)
{
    auto const move = std::exchange(m_move, nullptr);
    auto const* target = outcome.choice ? m_services.serviceTable.target(outcome.choice->upstream) : nullptr;
    if (!target || mayHaveEnded(*outcome.choice, *target))
        return;
    if (!m_sampler.prepareSend(*outcome.choice, role, outcome.isContextNew, eventCount()) || !m_attempts.spendMove(move->retry, m_services.loop.now())) {
        m_sampler.cancelPreparedSend();
        return;
    }
    move->granted.emplace(GrantedMove { std::move(outcome), *target, role });
    m_move = move;
    m_exchange->stopForward();
}

// This daemon has lost its links, so that no upstream's place can be granted.
void GatewayRequestHandler::findDetourForMove(std::function<bool()> const& isWanted)
{
    if (m_request.detour)
        return m_move.reset();
    m_services.peers.chooseDetour({}, [self = shared_from_this(), isWanted](std::optional<VMId> daemon) {
        if (!isWanted())
            return;
        auto const move = std::exchange(self->m_move, nullptr);
        if (!daemon || !self->m_attempts.spendMove(move->retry, self->m_services.loop.now()))
            return;
        move->isDetour = true;
        self->m_move = move;
        self->m_exchange->stopForward();
    });
}

void GatewayRequestHandler::finishMove(UpstreamId silent, Move& move, ForwardResult const& result)
{
    m_attempts.recordMove(silent);
    recordRetry(result);
    if (move.isDetour)
        return placeRequest();
    m_role = move.granted->role;
    m_isContextNew = move.granted->outcome.isContextNew;
    m_place = std::move(move.granted->outcome.place);
    m_sampler.startSend();
    forward(*move.granted->outcome.choice, move.granted->target);
}

// The request goes to another upstream.
void GatewayRequestHandler::recordRetry(ForwardResult const& result)
{
    log("sent-again", result, nameOf(*result.failure), m_attempts.verdict());
    m_services.metrics.countRetry(nameOf(*result.failure));
    m_lastFailure = Refusal { *result.failure, m_attempts.verdict(), result.detail, m_attempts.retryAfter() };
    m_role = UpstreamRole::Serving;
}

void GatewayRequestHandler::failRequest(ForwardResult const& result)
{
    m_stoppable.brokenOff();
    bool const isCallerGone = result.isCallerLost();
    if (!isCallerGone && !result.responseStarted) {
        refuseUnreachable({ *result.failure, m_attempts.verdict(), result.detail, m_attempts.retryAfter() });
        return;
    }
    m_services.metrics.countRefusal({ *result.failure, m_attempts.verdict(), result.detail, {} });
    log(isCallerGone ? "caller-gone" : "cut", result, nameOf(*result.failure), m_attempts.verdict());
    m_exchange->abort();
}

// After failures to connect, it may not be known yet whether the upstreams or this daemon's links are at fault.
void GatewayRequestHandler::refuseUnreachable(Refusal const& refusal)
{
    if (!m_attempts.mayDetour(m_services.loop.now()) || !m_attempts.connectFailures() || m_request.detour || !m_detour.empty())
        return refuse(refusal);
    m_services.links.whenDecided([self = shared_from_this(), refusal] {
        if (self->endedWhileWaiting())
            return;
        auto const now = self->m_services.loop.now();
        if (!self->m_services.detours.isNeeded() || !self->m_attempts.mayDetour(now))
            return self->refuse(refusal);
        self->m_attempts.recordDetourSend(now);
        self->startDetour();
    });
}

void GatewayRequestHandler::refuse(Refusal refusal)
{
    // Whatever it was made for, it says nothing else than the sends of the request.
    refusal.verdict = combine(refusal.verdict, m_attempts.verdict());
    m_services.metrics.countRefusal(refusal);
    ForwardResult none;
    none.detail = refusal.detail;
    none.status = gatewayStatusOf(refusal);
    if (m_progress && m_progress->isHeaderSent) {
        log("cut", none, nameOf(refusal.reason), refusal.verdict);
        m_exchange->abort();
        return;
    }
    log("refused", none, nameOf(refusal.reason), refusal.verdict);
    // The daemon that passed the request on would try another one, and nobody would count that as a retry.
    if (m_request.detour && m_attempts.hasArrived() && refusal.verdict.isNotRun())
        refusal.reason = RefusalReason::OverCapacity;
    m_exchange->respond(gatewayReply(refusal));
}

std::vector<LogField> GatewayRequestHandler::additionalLogFields(std::string_view outcome) const
{
    std::vector<LogField> fields;
    if (m_services.rollouts || m_request.route->kind == RequestKind::Stream)
        fields.emplace_back("version", m_version);
    if (m_services.rollouts)
        fields.emplace_back("role", m_sampler.role() == UpstreamRole::Candidate ? "candidate" : "serving");
    if (outcome != "answered") {
        auto const budget = m_service.retries.usage(m_services.loop.now());
        fields.insert(fields.end(), { { "prompt_parts", m_evidence.formatSharedParts() }, { "budget_requests", budget.requests }, { "budget_retries", budget.retries }, { "budget_credit", budget.credit }, { "budget_slack", budget.slack } });
    }
    return fields;
}

void GatewayRequestHandler::log(std::string_view outcome, ForwardResult const& result, std::string_view reason, Verdict verdict) const
{
    auto const now = m_services.loop.now();
    logRequest(
        { { "id", m_request.call.id }, { "request", outcome == "answered" ? "" : toHex(m_evidence.fingerprint().value()) }, { "outcome", outcome }, { "reason", reason }, { "verdict", nameOf(verdict) }, { "proof", verdict.proofName() },
            { "status", result.status }, { "route", m_request.route->name }, { "service", m_request.service },
            { "organisation", m_request.organisation }, { "context", toHex(m_request.call.prompt.sharedKey().value_or(0)) },
            { "upstream", m_instance }, { "context_source", m_contextSource }, { "placed_by", nameOf(m_placementReason.rule) }, { "counts_age_ms", m_placementReason.countsAge.count() / 1000 }, { "hold_ms", m_placementReason.hold.count() / 1000 }, { "owners_asked", m_placementReason.asks }, { "owner_counted", m_placementReason.counted }, { "owner_limit", m_placementReason.limit }, { "owner", m_placementReason.owner == VMId {} ? "" : toHex(m_placementReason.owner.value()) }, { "mean_load", m_placementReason.mean }, { "rest_left_ms", m_remainingBackoff.count() / 1000 }, { "sends", m_attempts.sends() }, { "detour", m_detour }, { "detour_from", m_request.detour ? toHex(m_request.detour->from.value()) : "" },
            { "rejections", m_attempts.rejections() }, { "unconnected", m_attempts.connectFailures() }, { "reused_connection", result.reusedConnection ? 1 : 0 },
            { "events", m_progress ? m_progress->eventCount : 0 }, { "bytes", result.responseBytes },
            { "settings", m_request.table->version() }, { "settings_age_ms", m_services.settingsAge().count() / 1000 },
            { "first_byte_us", result.timeToResponseHeader.count() }, { "took_us", (now - m_request.receivedAt).count() }, { "detail", result.detail }, { "foreign_bytes", result.foreignBytes } },
        additionalLogFields(outcome));
}

}
