#include <stagepostd/RequestHandler.h>

#include <LibBase/Hex.h>
#include <LibBase/Log.h>
#include <stagepostd/RefusalReply.h>

namespace Stagepost {

namespace {

    constexpr unsigned firstServerError = 500;

}

RequestHandler::RequestHandler(RequestServices services, std::shared_ptr<Exchange> exchange, CallerRequest request, FinishedCallback finished)
    : m_services(services)
    , m_exchange(std::move(exchange))
    , m_request(std::move(request))
    , m_finishedCallback(std::move(finished))
    , m_startedAt(services.loop.now())
    // An answer begins within that time. Nothing bounds the length of a stream.
    , m_work { workIdOf("", m_request.pool.path), {}, m_request.pool.answerTimeout }
    , m_running(services.stop.requests().add(m_work.id, m_startedAt, [exchange = std::weak_ptr(m_exchange)] {
        if (auto const open = exchange.lock())
            open->stopForward();
    }))
{
}

void RequestHandler::start()
{
    m_services.retryPolicy.recordFirstAttempt();
    m_exchange->onClientDisconnect([weak = weak_from_this()] {
        if (auto const handler = weak.lock())
            handler->handleCallerGone();
    });
    requestPlacement();
}

void RequestHandler::requestPlacement()
{
    if (refuseForStop())
        return;
    ++m_attempts;
    // acquire() may call back before it returns the number.
    auto const number = m_services.admission.acquire(m_request.placement, m_services.loop.now(), [self = shared_from_this()](Placement const& placement) {
        self->handlePlacement(placement);
    });
    m_placementNumber = number;
}

void RequestHandler::handleCallerGone()
{
    if (m_isFinished)
        return;
    if (m_placementNumber)
        m_services.admission.cancel(*m_placementNumber, m_services.loop.now());
    // A forward in progress ends by itself and reports its own verdict.
    if (!m_isForwarding)
        finish(Refusal { RefusalReason::CallerGone, m_combinedVerdict, "the caller left before its request was sent on", {} }, {});
}

void RequestHandler::handlePlacement(Placement const& placement)
{
    if (m_isFinished) {
        if (auto const* lease = std::get_if<Lease>(&placement))
            m_services.admission.release(lease->id, LeaseOutcome::Unused, m_services.loop.now());
        return;
    }
    if (auto const* refusal = std::get_if<Refusal>(&placement)) {
        // If no other upstream is left, the failure of the last attempt is more informative.
        bool const isNoneLeft = refusal->reason == RefusalReason::NoUpstream && m_lastFailure;
        refuse(isNoneLeft ? *m_lastFailure : *refusal);
        return;
    }
    auto const& lease = std::get<Lease>(placement);
    if (refuseForStop()) {
        m_services.admission.release(lease.id, LeaseOutcome::Unused, m_services.loop.now());
        return;
    }
    m_services.metrics.observe("stagepost_placement_seconds", m_services.loop.now() - m_startedAt);
    m_services.metrics.count("stagepost_placements_total", lease.holdsContext ? "context=\"held\"" : "context=\"new\"");
    for (auto const& [id, entry] : m_services.vms.entries()) {
        if (entry.role == VMRole::Upstream && entry.upstreamId() == lease.upstream) {
            forward(lease, entry);
            return;
        }
    }
    m_services.admission.release(lease.id, LeaseOutcome::Unused, m_services.loop.now());
    refuse({ RefusalReason::NoUpstream, NotRunProof::nothingSent(), "the upstream has left the list", Milliseconds(1000) });
}

void RequestHandler::forward(Lease const& lease, VMEntry const& upstream)
{
    auto const& pool = m_request.pool;
    ForwardPlan plan;
    plan.upstream = upstream.endpoint;
    plan.request = m_request.upstreamCall;
    plan.extraResponseHeaders.add("Stagepost-Verdict", nameOf(Verdict::ran));
    if (m_request.isChat)
        plan.extraResponseHeaders.add("Stagepost-Hint", toHex(lease.upstream.value()));
    plan.responseHeaderTimeout = pool.answerTimeout;
    plan.idleTimeout = pool.idleTimeout;
    plan.requireNewConnection = !m_request.isRepeatable;
    plan.maxRecordedBytes = m_request.keepBytes;
    m_isForwarding = true;
    m_exchange->forward(std::move(plan), [self = shared_from_this(), lease](ForwardResult const& result) {
        self->handleForwardResult(lease, result);
    });
}

LeaseOutcome RequestHandler::outcomeOf(ForwardResult const& result) const
{
    if (result.failure == RefusalReason::CallerGone || result.failure == RefusalReason::SlowCaller)
        return LeaseOutcome::Unused;
    return result.failure || result.status >= firstServerError ? LeaseOutcome::Failed : LeaseOutcome::Succeeded;
}

void RequestHandler::handleForwardResult(Lease const& lease, ForwardResult const& result)
{
    m_isForwarding = false;
    if (m_isFinished)
        return;
    auto const now = m_services.loop.now();
    bool const isGivenUp = result.failure && m_services.stop.isOver(now);
    m_services.admission.release(lease.id, isGivenUp ? LeaseOutcome::Unused : outcomeOf(result), now);
    if (!result.failure) {
        m_running->answered(now);
        finish({}, result);
        return;
    }
    m_running->brokenOff(now);
    m_combinedVerdict = combine(m_combinedVerdict, result.verdict);
    Refusal const refusal { *result.failure, m_combinedVerdict, result.detail, {} };
    m_lastFailure = refusal;
    if (!isGivenUp && retry(lease, result))
        return;
    if (result.responseStarted || result.failure == RefusalReason::CallerGone)
        finish(refusal, result);
    else
        refuse(refusal);
}

bool RequestHandler::retry(Lease const& lease, ForwardResult const& result)
{
    RetryContext const failed {
        result.verdict,
        *result.failure,
        m_request.isRepeatable,
        result.responseStarted,
        m_attempts,
        m_request.pool.mostTries,
        m_request.placement.deadline,
    };
    auto const decision = m_services.retryPolicy.decide(failed, m_services.loop.now());
    if (decision != RetryDecision::Retry) {
        m_services.metrics.count("stagepost_retries_refused_total", "reason=\"" + std::string(nameOf(decision)) + '"');
        return false;
    }
    m_services.metrics.countRetry(nameOf(*result.failure));
    m_request.placement.excluded.push_back(lease.upstream);
    requestPlacement();
    return true;
}

bool RequestHandler::refuseForStop()
{
    if (m_services.stop.mayTake(m_work, m_services.loop.now()))
        return false;
    refuse({ RefusalReason::Draining, m_combinedVerdict, "this daemon is about to stop, and the request may take longer", {} });
    return true;
}

// An earlier attempt of the request may have run, so its verdict is included.
void RequestHandler::refuse(Refusal refusal)
{
    refusal.verdict = combine(refusal.verdict, m_combinedVerdict);
    m_exchange->respond(refusalReply(refusal));
    finish(refusal, {});
}

void RequestHandler::finish(std::optional<Refusal> const& refusal, ForwardResult const& result)
{
    m_isFinished = true;
    auto const now = m_services.loop.now();
    m_services.admission.organisationFinished(m_request.organisation.id);
    m_services.metrics.observe("stagepost_request_seconds", now - m_startedAt);
    if (refusal)
        m_services.metrics.countRefusal(*refusal);
    else
        m_services.metrics.count("stagepost_answers_total");
    logEvent(refusal ? LogLevel::Info : LogLevel::Debug, "request",
        { { "organisation", m_request.organisation.name }, { "pool", m_request.pool.path },
            { "priority", m_request.placement.priority == Priority::Urgent ? "urgent" : "bulk" },
            { "reason", refusal ? nameOf(refusal->reason) : "none" },
            { "verdict", nameOf(refusal ? refusal->verdict : Verdict::ran) },
            { "status", result.status }, { "tries", m_attempts }, { "bytes", result.responseBytes },
            { "took_us", (now - m_startedAt).count() } });
    if (auto const finished = std::exchange(m_finishedCallback, nullptr))
        finished({ refusal, result });
}

}
