#include <stagepostd/DetourClient.h>

#include <LibBase/Hex.h>
#include <charconv>
#include <stagepostd/AnswerCheck.h>
#include <stagepostd/ConnectionMetrics.h>
#include <stagepostd/DetourServer.h>
#include <stagepostd/RefusalReply.h>

namespace Stagepost {

namespace {

    // Each refusal costs a round trip between daemons.
    constexpr size_t maxDaemonsTried = 3;
    constexpr size_t maxHeldAnswerBytes = 64u << 10;

    std::optional<Milliseconds> parseRetryAfter(std::string_view seconds)
    {
        double value = 0;
        auto const [end, failure] = std::from_chars(seconds.data(), seconds.data() + seconds.size(), value);
        if (failure != std::errc() || seconds.empty())
            return {};
        return std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(value));
    }

    // A daemon cuts the answer of an upstream that sends foreign bytes or breaks off. If the daemon itself has ended, the next
    // connection to it shows that.
    bool mayBeUpstreamsCut(ForwardResult const& result)
    {
        return result.failure == RefusalReason::UpstreamBroken && result.status;
    }

    Verdict verdictOfOtherDaemon(std::string_view name)
    {
        for (auto const verdict : { Verdict(NotRunProof::otherDaemonSaidSo()), Verdict::ran }) {
            if (name == nameOf(verdict))
                return verdict;
        }
        return Verdict::mayHaveRun;
    }

}

DetourClient::DetourClient(EventLoop& loop, Metrics& metrics, GatewayDialect const& dialect, LinkMonitor const& links, GatewayPeers& peers)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_dialect(dialect)
    , m_links(links)
    , m_peers(peers)
{
}

void DetourClient::start(Request request)
{
    chooseDaemon(std::make_shared<Detour>(Detour { std::move(request), {}, {}, false }));
}

void DetourClient::chooseDaemon(std::shared_ptr<Detour> const& detour)
{
    m_peers.chooseDetour(detour->tried, [this, detour](std::optional<VMId> chosen) {
        if (!detour->request.maySend())
            return;
        if (chosen && m_peers.endpointOf(*chosen))
            send(detour, *chosen);
        else
            finish(*detour, detour->tried.empty() ? "no-daemon" : "refused");
    });
}

ForwardPlan DetourClient::makePlan(Detour& detour, Endpoint const& endpoint)
{
    auto const& request = detour.request;
    auto const& attempts = request.attempts;
    auto const now = m_loop.now();
    auto const lastEvent = request.progress ? request.progress->lastId() : request.routed.call.lastEvent;
    auto const limits = attemptLimitsOf(request.routed);
    DetourTerms terms;
    terms.settingsVersion = request.routed.table->version();
    terms.sendsLeft = limits.maxSends - std::min(limits.maxSends, attempts.sends());
    terms.isCounted = request.isCounted;
    terms.service = request.routed.service;
    terms.id = request.routed.call.id;
    terms.streamVersion = request.streamVersion;
    ForwardPlan plan;
    plan.upstream = endpoint;
    plan.request = m_dialect.writeDetour(request.exchange->request(), attempts.timeLeft(now), lastEvent);
    plan.request.headers.set(DetourServer::termsHeader, m_peers.signDetour(terms));
    plan.endToEndFields = m_dialect.endToEndResponseFields;
    plan.requestIdField = m_dialect.idField;
    plan.requestId = terms.id;
    plan.preserveHost = true;
    // An idle connection may be closed or may have become silent, which would leave it unclear whether
    // the request was run.
    plan.requireNewConnection = true;
    plan.maxIdleConnections = 0;
    plan.connectTimeout = attempts.connectTimeout();
    plan.responseHeaderTimeout = attempts.timeLeft(now);
    plan.idleTimeout = attempts.timeLeft(now);
    plan.maxBufferedBytes = maxHeldAnswerBytes;
    plan.progress = request.progress;
    plan.eventFormat = m_dialect.eventFormat;
    plan.sendErrorEvent = false;
    plan.deadline = attempts.deadline();
    return plan;
}

std::optional<ResponseRejection> DetourClient::checkResponseHeader(Detour& detour, unsigned status, HttpFields const& headers) const
{
    auto const& progress = detour.request.progress;
    if (!headers.contains(DetourServer::refusalHeader)) {
        // The other daemon answers for an upstream that has not run the request, so this one passed its check. Only this
        // daemon knows whether its caller's route allows repeats.
        return checkAnswer(m_dialect.readResponseHeader(status, headers, {}), status, { detour.request.routed.route->isRepeatable(), progress && progress->isHeaderSent });
    }
    auto const verdict = verdictOfOtherDaemon(headers.find(RefusalFields::verdict));
    auto const reason = std::string(headers.find(RefusalFields::reason));
    // This daemon has accepted the request, so the other one's reason, such as an unknown key, is not
    // the caller's.
    detour.mayTryElsewhere = headers.find(DetourServer::refusalHeader) == DetourServer::refusedHere;
    detour.outcome.refusal = Refusal { verdict.isNotRun() ? RefusalReason::NoUpstream : RefusalReason::UpstreamBroken, verdict, "the other daemon answered " + reason, parseRetryAfter(headers.find("Retry-After")) };
    return ResponseRejection { RefusalReason::OverCapacity, verdict, detour.outcome.refusal->detail };
}

void DetourClient::send(std::shared_ptr<Detour> const& detour, VMId daemon)
{
    detour->tried.push_back(daemon);
    auto const name = m_peers.nameOf(daemon);
    detour->outcome.daemon = name.empty() ? toHex(daemon.value()) : name;
    detour->outcome.refusal.reset();
    detour->mayTryElsewhere = false;
    auto plan = makePlan(*detour, *m_peers.endpointOf(daemon));
    plan.responseFilter = [this, detour](unsigned status, HttpFields const& headers) { return checkResponseHeader(*detour, status, headers); };
    m_peers.detourStarted(daemon);
    detour->request.attempts.beginDetour();
    detour->request.exchange->forward(std::move(plan), [this, detour, daemon](ForwardResult const& result) { finishSend(detour, daemon, result); });
}

void DetourClient::finishSend(std::shared_ptr<Detour> const& detour, VMId daemon, ForwardResult const& result)
{
    countForwardEnd(m_metrics, result);
    detour->request.attempts.endDetour(result.verdict);
    bool const isFailure = result.failure && !result.isCallerLost();
    bool const isDaemonAtFault = isFailure && !mayBeUpstreamsCut(result) && (!detour->outcome.refusal || detour->mayTryElsewhere);
    m_peers.detourEnded(daemon, isDaemonAtFault);
    detour->outcome.result = result;
    if (isDaemonAtFault && result.verdict.isNotRun() && !result.deadlineReached && detour->tried.size() < maxDaemonsTried) {
        chooseDaemon(detour);
        return;
    }
    if (!result.failure)
        finish(*detour, "answered");
    else
        finish(*detour, isFailure ? "failed" : "caller-gone");
}

void DetourClient::finish(Detour& detour, std::string_view outcome)
{
    m_metrics.count("stagepost_detours_total", "outcome=\"" + std::string(outcome) + '"');
    detour.request.ended(detour.outcome);
}

}
