#include <stagepostd/OnceGateway.h>

#include <LibBase/Hash.h>
#include <LibBase/Hex.h>
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace Stagepost {

namespace {

    // Read by the daemon that a request is passed on to, even if the caller's Connection field names them.
    constexpr std::array<std::string_view, 8> fieldsOfOtherDaemon {
        "Host", "Authorization", "Idempotency-Key", "Stagepost-Ticket", "Stagepost-Hint", "Stagepost-Deadline-Ms", "Priority", "X-Request-Id"
    };

    constexpr char const* forwardedField = "Stagepost-Passed-On";
    constexpr uint64_t maxTicketsPerRequest = 256;
    constexpr size_t maxRecordsPerRead = 500;
    // The share of the fleet's appends that claims may use. The rest is for the settings and as a reserve.
    constexpr double claimAppendShare = 0.8;
    constexpr Milliseconds answerTimeout { 120000 };

    uint64_t requestFingerprint(HttpRequest const& call)
    {
        return mixHashes(mixHashes(hashOf(call.method), hashOf(call.target)), hashOf(call.body));
    }

    ClaimGateOptions makeClaimGateOptions(OnceSettings const& settings)
    {
        ClaimGateOptions options;
        options.appendsPerSecond = settings.logAppendsPerSecond * claimAppendShare / static_cast<double>(ClaimGate::shardCount);
        options.window = settings.claimWindow;
        options.memoryBytes = settings.memoryBytes / 4 * 3;
        return options;
    }

    RecordedResponse toRecordedAnswer(ForwardResult const& result)
    {
        RecordedResponse answer;
        answer.status = result.status;
        answer.isComplete = result.isRecordingComplete;
        if (result.isRecordingComplete) {
            answer.contentType = result.recordedResponse.headers.find("Content-Type");
            answer.body = result.recordedResponse.body;
        }
        return answer;
    }

    std::string forwardedTagText(HttpRequest const& call)
    {
        return "passed-on" + toHex(requestFingerprint(call));
    }

}

OnceGateway::OnceGateway(Dependencies dependencies, std::string_view key, VMId self, Incarnation incarnation)
    : m_dependencies(std::move(dependencies))
    , m_authenticator(std::string(key) + "/once", self, incarnation)
    , m_self(self)
    , m_ticketRegistry(m_authenticator, self, incarnation, m_settings.ticketWindow, m_settings.memoryBytes / 4)
    , m_claimGate(makeClaimGateOptions(m_settings), claimHooks())
{
}

ClaimGate::Hooks OnceGateway::claimHooks()
{
    return {
        [this](std::string const& stream, std::string record, std::function<void(Result<Offset>)> callback) {
            m_dependencies.log.append(stream, std::move(record), [alive = std::weak_ptr(m_alive), callback = std::move(callback)](Result<Offset> const& offset) {
                if (!alive.expired())
                    callback(offset);
            });
        },
        [this](std::string const& stream, Offset from, std::function<void(Result<ClaimGate::ReadResult>)> callback) {
            m_dependencies.log.read(stream, from, maxRecordsPerRead, Milliseconds(0), [alive = std::weak_ptr(m_alive), callback = std::move(callback)](Result<LogBatch> const& batch) {
                if (alive.expired())
                    return;
                if (!batch) {
                    callback(batch.error());
                    return;
                }
                ClaimGate::ReadResult result { batch->first, batch->next, {}, batch->restoreCount };
                for (auto const& record : batch->records)
                    result.records.emplace_back(record.offset, record.body);
                callback(std::move(result));
            });
        },
        m_dependencies.random,
        [] { return std::chrono::duration_cast<Seconds>(std::chrono::system_clock::now().time_since_epoch()).count(); },
    };
}

void OnceGateway::updateSettings(OnceSettings const& settings)
{
    m_settings = settings;
    m_claimGate.setOptions(makeClaimGateOptions(settings));
    m_ticketRegistry.setBounds(settings.ticketWindow, settings.memoryBytes / 4);
}

void OnceGateway::renderMetrics(Metrics& metrics) const
{
    metrics.setGauge("stagepost_once_keys", static_cast<double>(m_claimGate.keys()));
    metrics.setGauge("stagepost_once_tickets", static_cast<double>(m_ticketRegistry.trackedCount()));
    metrics.setGauge("stagepost_once_bytes", static_cast<double>(m_claimGate.bytes() + m_ticketRegistry.bytes()));
    metrics.setGauge("stagepost_log_appends", static_cast<double>(m_claimGate.appends()));
}

HttpResponse OnceGateway::issueTickets(HttpRequest const& call, OrganisationId organisation)
{
    auto const countText = call.queryParameter("count");
    uint64_t count = 1;
    if (!countText.empty()) {
        auto const [end, code] = std::from_chars(countText.data(), countText.data() + countText.size(), count);
        if (code != std::errc() || end != countText.data() + countText.size() || count == 0 || count > maxTicketsPerRequest)
            return m_dependencies.refuse({ RefusalReason::BadRequest, NotRunProof::nothingSent(), "count is a number from 1 to 256", {} });
    }
    auto const tickets = m_ticketRegistry.issue(organisation, count);
    if (tickets.empty())
        return m_dependencies.refuse({ RefusalReason::OnceMemoryFull, NotRunProof::nothingSent(), "as many tickets are running as can be remembered", Milliseconds(1000) });
    return makeJsonResponse(200, nlohmann::json { { "tickets", tickets } }.dump() + '\n');
}

void OnceGateway::refuse(Exchange& exchange, Refusal const& refusal)
{
    exchange.respond(m_dependencies.refuse(refusal));
}

void OnceGateway::replay(Exchange& exchange, RecordedResponse const& answer)
{
    m_dependencies.metrics.count("stagepost_replays_total");
    HttpResponse reply { answer.status, {}, answer.body };
    if (!answer.contentType.empty())
        reply.headers.add("Content-Type", answer.contentType);
    reply.headers.add("Stagepost-Verdict", nameOf(Verdict::ran));
    reply.headers.add("Stagepost-Replayed", "true");
    exchange.respond(std::move(reply));
}

// A request is forwarded at most once. The daemon that receives it makes the decision.
bool OnceGateway::wasForwardedByDaemon(HttpRequest const& call) const
{
    return m_authenticator.verifyTag(forwardedTagText(call), hexToBytes(call.headers.find(forwardedField)));
}

VMEntry const* OnceGateway::findDaemon(VMId id) const
{
    auto const* entry = m_dependencies.vms.find(id);
    return entry && entry->role == VMRole::Entry ? entry : nullptr;
}

void OnceGateway::forwardToDaemon(std::shared_ptr<Exchange> const& exchange, Endpoint const& daemon, std::function<void()> onUnreachable)
{
    ForwardPlan plan;
    plan.upstream = daemon;
    plan.request = exchange->request();
    plan.request.headers.removeHopByHop(fieldsOfOtherDaemon);
    plan.request.headers.set(forwardedField, bytesToHex(m_authenticator.computeTag(forwardedTagText(exchange->request()))));
    plan.responseHeaderTimeout = answerTimeout;
    plan.requireNewConnection = true;
    m_dependencies.metrics.count("stagepost_passed_on_total");
    exchange->forward(std::move(plan), [this, exchange, alive = std::weak_ptr(m_alive), onUnreachable = std::move(onUnreachable)](ForwardResult const& result) {
        if (alive.expired() || !result.failure || result.responseStarted || exchange->isClientDisconnected())
            return;
        if (result.verdict.isNotRun())
            onUnreachable();
        else
            refuse(*exchange, { *result.failure, Verdict::mayHaveRun, "the daemon that decides on this request was lost", {} });
    });
}

void OnceGateway::serve(std::shared_ptr<Exchange> const& exchange, CallerRequest request)
{
    // The call must not run twice. Its answer is kept for a resend.
    request.isRepeatable = false;
    request.keepBytes = m_settings.answerKeepBytes;
    if (!request.ticket.empty())
        serveTicket(exchange, request);
    else
        serveKey(exchange, request);
}

void OnceGateway::serveTicket(std::shared_ptr<Exchange> const& exchange, CallerRequest const& request)
{
    Refusal const issuerUnreachable { RefusalReason::TicketHolderGone, Verdict::mayHaveRun, "the daemon that handed the ticket out cannot be reached", {} };
    auto const decision = m_ticketRegistry.redeem(request.ticket, request.organisation.id, requestFingerprint(exchange->request()));
    if (auto const* refusal = std::get_if<Refusal>(&decision)) {
        refuse(*exchange, *refusal);
    } else if (auto const* replayed = std::get_if<TicketRegistry::Replay>(&decision)) {
        replay(*exchange, replayed->response);
    } else if (auto const* heldElsewhere = std::get_if<TicketRegistry::HeldElsewhere>(&decision)) {
        auto const* issuer = findDaemon(heldElsewhere->holder);
        if (!issuer || wasForwardedByDaemon(exchange->request()))
            refuse(*exchange, issuerUnreachable);
        else
            forwardToDaemon(exchange, issuer->endpoint, [this, exchange, issuerUnreachable] { refuse(*exchange, issuerUnreachable); });
    } else {
        auto const serial = std::get<TicketRegistry::MayRun>(decision).serial;
        m_dependencies.run(exchange, request, [this, serial](RequestHandler::Outcome const& outcome) {
            if (!outcome.refusal)
                m_ticketRegistry.done(serial, toRecordedAnswer(outcome.result));
            else if (outcome.refusal->verdict.isNotRun())
                m_ticketRegistry.notRun(serial);
            else
                m_ticketRegistry.inDoubt(serial);
        });
    }
}

void OnceGateway::serveKey(std::shared_ptr<Exchange> const& exchange, CallerRequest const& request)
{
    auto const key = IdempotencyKey::parse(request.idempotencyKey, request.organisation.id.value());
    if (!key) {
        refuse(*exchange, { RefusalReason::BadRequest, NotRunProof::nothingSent(), key.error().detail, {} });
        return;
    }
    auto const shard = ClaimGate::shardOf(*key);
    auto const coordinator = m_dependencies.view().coordinatorOf(mixHashes(hashOf("claims"), shard));
    auto const* entry = coordinator && *coordinator != m_self ? findDaemon(*coordinator) : nullptr;
    if (!entry || wasForwardedByDaemon(exchange->request())) {
        claimLocally(exchange, request, *key);
        return;
    }
    // The log decides between claims, so any daemon may claim if the coordinator cannot be reached.
    forwardToDaemon(exchange, entry->endpoint, [this, exchange, request, key = *key] { claimLocally(exchange, request, key); });
}

void OnceGateway::claimLocally(std::shared_ptr<Exchange> const& exchange, CallerRequest const& request, IdempotencyKey const& key)
{
    m_claimGate.claim(key, requestFingerprint(exchange->request()), m_dependencies.loop.now(), [this, exchange, request, key](ClaimGate::Decision const& decision) {
        if (auto const* refusal = std::get_if<Refusal>(&decision)) {
            refuse(*exchange, *refusal);
            return;
        }
        if (auto const* replayed = std::get_if<ClaimGate::Replay>(&decision)) {
            replay(*exchange, replayed->response);
            return;
        }
        auto const granted = std::get<ClaimGate::MayRun>(decision);
        auto running = request;
        if (running.pool.checksFences)
            running.upstreamCall.headers.set("Stagepost-Fence", std::to_string(granted.fence));
        m_dependencies.run(exchange, std::move(running), [this, key, granted](RequestHandler::Outcome const& outcome) {
            auto const now = m_dependencies.loop.now();
            if (!outcome.refusal)
                m_claimGate.done(key, granted.nonce, toRecordedAnswer(outcome.result), now);
            else if (outcome.refusal->verdict.isNotRun())
                m_claimGate.abandon(key, granted.nonce, now);
            // Otherwise the claim stays, and a resend is told that the request may have run.
        });
    });
}

}
