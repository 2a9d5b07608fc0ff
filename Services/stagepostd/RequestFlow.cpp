#include <stagepostd/RequestFlow.h>

#include <LibBase/Hex.h>
#include <LibBase/Log.h>
#include <stagepostd/RefusalReply.h>

namespace Stagepost {

namespace {

    constexpr unsigned firstServerError = 500;

}

RequestFlow::RequestFlow(RequestServices services, std::shared_ptr<Exchange> exchange, CallerRequest request, Ended ended)
    : m_services(services)
    , m_exchange(std::move(exchange))
    , m_request(std::move(request))
    , m_ended(std::move(ended))
    , m_startedAt(services.loop.now())
{
}

void RequestFlow::start()
{
    m_services.retries.recordFirstAttempt();
    m_exchange->onClientDisconnect([weak = weak_from_this()] {
        if (auto const flow = weak.lock())
            flow->callerGone();
    });
    place();
}

void RequestFlow::place()
{
    ++m_tries;
    // The answer may come from within acquire(), before its number is known.
    auto const number = m_services.node.acquire(m_request.placement, m_services.loop.now(), [self = shared_from_this()](Placement const& placement) {
        self->placed(placement);
    });
    m_placing = number;
}

void RequestFlow::callerGone()
{
    if (m_isOver)
        return;
    if (m_placing)
        m_services.node.cancel(*m_placing, m_services.loop.now());
    // A forward in progress ends by itself, with its own verdict.
    if (!m_isForwarding)
        finish(Refusal { RefusalReason::CallerGone, m_doubt, "the caller left before its request was sent on", {} }, {});
}

void RequestFlow::placed(Placement const& placement)
{
    if (m_isOver) {
        if (auto const* lease = std::get_if<Lease>(&placement))
            m_services.node.release(lease->id, LeaseOutcome::Unused, m_services.loop.now());
        return;
    }
    if (auto const* refusal = std::get_if<Refusal>(&placement)) {
        // When nobody else is left to try, the failure of the last try says more.
        bool const isAlone = refusal->reason == RefusalReason::NoUpstream && m_lastFailure;
        refuse(isAlone ? *m_lastFailure : *refusal);
        return;
    }
    auto const& lease = std::get<Lease>(placement);
    m_services.metrics.observe("stagepost_placement_seconds", m_services.loop.now() - m_startedAt);
    m_services.metrics.count("stagepost_placements_total", lease.holdsContext ? "context=\"held\"" : "context=\"new\"");
    for (auto const& [id, entry] : m_services.vms.entries()) {
        if (entry.role == VMRole::Upstream && entry.upstreamId() == lease.upstream) {
            forward(lease, entry);
            return;
        }
    }
    m_services.node.release(lease.id, LeaseOutcome::Unused, m_services.loop.now());
    refuse({ RefusalReason::NoUpstream, Verdict::NotRun, "the upstream has left the list", Milliseconds(1000) });
}

void RequestFlow::forward(Lease const& lease, VMEntry const& upstream)
{
    auto const& pool = m_request.pool;
    ForwardPlan plan;
    plan.upstream = upstream.endpoint;
    plan.request = m_request.upstreamCall;
    plan.extraResponseHeaders.add("Stagepost-Verdict", nameOf(Verdict::Ran));
    if (m_request.isChat)
        plan.extraResponseHeaders.add("Stagepost-Hint", toHex(lease.upstream.value()));
    plan.responseHeaderTimeout = pool.answerTimeout;
    plan.idleTimeout = pool.idleTimeout;
    plan.requireNewConnection = !m_request.isRepeatable;
    plan.maxRecordedBytes = m_request.keepBytes;
    m_isForwarding = true;
    m_exchange->forward(std::move(plan), [self = shared_from_this(), lease](ForwardResult const& result) {
        self->forwarded(lease, result);
    });
}

LeaseOutcome RequestFlow::outcomeOf(ForwardResult const& result) const
{
    if (result.failure == RefusalReason::CallerGone || result.failure == RefusalReason::SlowCaller)
        return LeaseOutcome::Unused;
    return result.failure || result.status >= firstServerError ? LeaseOutcome::Failed : LeaseOutcome::Succeeded;
}

void RequestFlow::forwarded(Lease const& lease, ForwardResult const& result)
{
    m_isForwarding = false;
    if (m_isOver)
        return;
    m_services.node.release(lease.id, outcomeOf(result), m_services.loop.now());
    if (!result.failure) {
        finish({}, result);
        return;
    }
    m_doubt = combine(m_doubt, result.verdict);
    Refusal const refusal { *result.failure, m_doubt, result.detail, {} };
    m_lastFailure = refusal;
    if (retry(lease, result))
        return;
    if (result.responseStarted || result.failure == RefusalReason::CallerGone)
        finish(refusal, result);
    else
        refuse(refusal);
}

bool RequestFlow::retry(Lease const& lease, ForwardResult const& result)
{
    RetryContext const failed {
        result.verdict,
        *result.failure,
        m_request.isRepeatable,
        result.responseStarted,
        m_tries,
        m_request.pool.mostTries,
        m_request.placement.deadline,
    };
    auto const decision = m_services.retries.decide(failed, m_services.loop.now());
    if (decision != RetryDecision::Retry) {
        m_services.metrics.count("stagepost_retries_refused_total", "reason=\"" + std::string(nameOf(decision)) + '"');
        return false;
    }
    m_services.metrics.countRetry(nameOf(*result.failure));
    m_request.placement.excluded.push_back(lease.upstream);
    place();
    return true;
}

// A request that was tried before keeps the doubt of that try.
void RequestFlow::refuse(Refusal refusal)
{
    refusal.verdict = combine(refusal.verdict, m_doubt);
    m_exchange->respond(refusalReply(refusal));
    finish(refusal, {});
}

void RequestFlow::finish(std::optional<Refusal> const& refusal, ForwardResult const& result)
{
    m_isOver = true;
    auto const now = m_services.loop.now();
    m_services.node.organisationFinished(m_request.organisation.id);
    m_services.metrics.observe("stagepost_request_seconds", now - m_startedAt);
    if (refusal)
        m_services.metrics.countRefusal(*refusal);
    else
        m_services.metrics.count("stagepost_answers_total");
    logEvent(refusal ? LogLevel::Info : LogLevel::Debug, "request",
        { { "organisation", m_request.organisation.name }, { "pool", m_request.pool.path },
            { "priority", m_request.placement.priority == Priority::Urgent ? "urgent" : "bulk" },
            { "reason", refusal ? nameOf(refusal->reason) : "none" },
            { "verdict", nameOf(refusal ? refusal->verdict : Verdict::Ran) },
            { "status", result.status }, { "tries", m_tries }, { "bytes", result.responseBytes },
            { "took_us", (now - m_startedAt).count() } });
    if (auto const ended = std::exchange(m_ended, nullptr))
        ended({ refusal, result });
}

}
