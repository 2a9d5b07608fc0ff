#include <stagepostd/OnceGateway.h>

#include <LibBase/Hash.h>
#include <LibBase/Hex.h>
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace Stagepost {

namespace {

    constexpr char const* passedOnField = "Stagepost-Passed-On";
    constexpr uint64_t mostTicketsAtOnce = 256;
    constexpr size_t readBatch = 500;
    // What is left of the fleet's appends to the settings and to chance.
    constexpr double claimShare = 0.8;
    constexpr Milliseconds answerTimeout { 120000 };

    uint64_t fingerprintOf(HttpRequest const& call)
    {
        return mixHashes(mixHashes(hashOf(call.method), hashOf(call.target)), hashOf(call.body));
    }

    ClaimGateOptions gateOptions(OnceSettings const& settings)
    {
        ClaimGateOptions options;
        options.appendsPerSecond = settings.logAppendsPerSecond * claimShare / static_cast<double>(ClaimGate::shardCount);
        options.window = settings.claimWindow;
        options.memoryBytes = settings.memoryBytes / 4 * 3;
        return options;
    }

    RecordedResponse recordOf(ForwardResult const& result)
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

    std::string wordFor(HttpRequest const& call)
    {
        return "passed-on" + toHex(fingerprintOf(call));
    }

}

OnceGateway::OnceGateway(Dependencies dependencies, std::string_view key, VMId self, Incarnation incarnation)
    : m_dependencies(std::move(dependencies))
    , m_authenticator(std::string(key) + "/once", self, incarnation)
    , m_self(self)
    , m_tickets(m_authenticator, self, incarnation, m_settings.ticketWindow, m_settings.memoryBytes / 4)
    , m_claims(gateOptions(m_settings), claimHooks())
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
            m_dependencies.log.read(stream, from, readBatch, Milliseconds(0), [alive = std::weak_ptr(m_alive), callback = std::move(callback)](Result<LogBatch> const& batch) {
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

void OnceGateway::settingsChanged(OnceSettings const& settings)
{
    m_settings = settings;
    m_claims.setOptions(gateOptions(settings));
    m_tickets.setBounds(settings.ticketWindow, settings.memoryBytes / 4);
}

void OnceGateway::renderMetrics(Metrics& metrics) const
{
    metrics.setGauge("stagepost_once_keys", static_cast<double>(m_claims.keys()));
    metrics.setGauge("stagepost_once_tickets", static_cast<double>(m_tickets.trackedCount()));
    metrics.setGauge("stagepost_once_bytes", static_cast<double>(m_claims.bytes() + m_tickets.bytes()));
    metrics.setGauge("stagepost_log_appends", static_cast<double>(m_claims.appends()));
}

HttpResponse OnceGateway::issueTickets(HttpRequest const& call, OrganisationId organisation)
{
    auto const text = call.queryParameter("count");
    uint64_t count = 1;
    if (!text.empty()) {
        auto const [end, code] = std::from_chars(text.data(), text.data() + text.size(), count);
        if (code != std::errc() || end != text.data() + text.size() || count == 0 || count > mostTicketsAtOnce)
            return m_dependencies.refuse({ RefusalReason::BadRequest, Verdict::NotRun, "count is a number from 1 to 256", {} });
    }
    auto const tickets = m_tickets.issue(organisation, count);
    if (tickets.empty())
        return m_dependencies.refuse({ RefusalReason::OnceMemoryFull, Verdict::NotRun, "as many tickets are running as can be remembered", Milliseconds(1000) });
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
    reply.headers.add("Stagepost-Verdict", nameOf(Verdict::Ran));
    reply.headers.add("Stagepost-Replayed", "true");
    exchange.respond(std::move(reply));
}

// A request is passed on once at the most: whoever gets it decides.
bool OnceGateway::wasPassedOn(HttpRequest const& call) const
{
    return m_authenticator.verifyTag(wordFor(call), hexToBytes(call.headers.find(passedOnField)));
}

VMEntry const* OnceGateway::entryOf(VMId id) const
{
    auto const* entry = m_dependencies.vms.find(id);
    return entry && entry->role == VMRole::Entry ? entry : nullptr;
}

void OnceGateway::passOn(std::shared_ptr<Exchange> const& exchange, Endpoint const& holder, std::function<void()> unreachable)
{
    ForwardPlan plan;
    plan.upstream = holder;
    plan.request = exchange->request();
    plan.request.headers.set(passedOnField, bytesToHex(m_authenticator.computeTag(wordFor(exchange->request()))));
    plan.responseHeaderTimeout = answerTimeout;
    plan.requireNewConnection = true;
    m_dependencies.metrics.count("stagepost_passed_on_total");
    exchange->forward(std::move(plan), [this, exchange, alive = std::weak_ptr(m_alive), unreachable = std::move(unreachable)](ForwardResult const& result) {
        if (alive.expired() || !result.failure || result.responseStarted || exchange->isClientDisconnected())
            return;
        if (result.verdict == Verdict::NotRun)
            unreachable();
        else
            refuse(*exchange, { *result.failure, Verdict::MayHaveRun, "the daemon that decides on this request was lost", {} });
    });
}

void OnceGateway::serve(std::shared_ptr<Exchange> const& exchange, CallerRequest request)
{
    // A call of which running twice does harm; its answer is kept for a resend.
    request.isRepeatable = false;
    request.keepBytes = m_settings.answerKeepBytes;
    if (!request.ticket.empty())
        serveTicket(exchange, request);
    else
        serveKey(exchange, request);
}

void OnceGateway::serveTicket(std::shared_ptr<Exchange> const& exchange, CallerRequest const& request)
{
    Refusal const gone { RefusalReason::TicketHolderGone, Verdict::MayHaveRun, "the daemon that handed the ticket out cannot be reached", {} };
    auto const decision = m_tickets.redeem(request.ticket, request.organisation.id, fingerprintOf(exchange->request()));
    if (auto const* refusal = std::get_if<Refusal>(&decision)) {
        refuse(*exchange, *refusal);
    } else if (auto const* known = std::get_if<TicketRegistry::Replay>(&decision)) {
        replay(*exchange, known->response);
    } else if (auto const* elsewhere = std::get_if<TicketRegistry::HeldElsewhere>(&decision)) {
        auto const* holder = entryOf(elsewhere->holder);
        if (!holder || wasPassedOn(exchange->request()))
            refuse(*exchange, gone);
        else
            passOn(exchange, holder->endpoint, [this, exchange, gone] { refuse(*exchange, gone); });
    } else {
        auto const serial = std::get<TicketRegistry::MayRun>(decision).serial;
        m_dependencies.run(exchange, request, [this, serial](RequestFlow::Ending const& ending) {
            if (!ending.refusal)
                m_tickets.done(serial, recordOf(ending.result));
            else if (ending.refusal->verdict == Verdict::NotRun)
                m_tickets.notRun(serial);
            else
                m_tickets.inDoubt(serial);
        });
    }
}

void OnceGateway::serveKey(std::shared_ptr<Exchange> const& exchange, CallerRequest const& request)
{
    auto const key = IdempotencyKey::parse(request.idempotencyKey, request.organisation.id.value());
    if (!key) {
        refuse(*exchange, { RefusalReason::BadRequest, Verdict::NotRun, key.error().detail, {} });
        return;
    }
    auto const shard = ClaimGate::shardOf(*key);
    auto const decider = m_dependencies.view().coordinatorOf(mixHashes(hashOf("claims"), shard));
    auto const* entry = decider && *decider != m_self ? entryOf(*decider) : nullptr;
    if (!entry || wasPassedOn(exchange->request())) {
        claimHere(exchange, request, *key);
        return;
    }
    // The log decides, so any daemon may claim when the usual one cannot be reached.
    passOn(exchange, entry->endpoint, [this, exchange, request, key = *key] { claimHere(exchange, request, key); });
}

void OnceGateway::claimHere(std::shared_ptr<Exchange> const& exchange, CallerRequest const& request, IdempotencyKey const& key)
{
    m_claims.claim(key, fingerprintOf(exchange->request()), m_dependencies.loop.now(), [this, exchange, request, key](ClaimGate::Decision const& decision) {
        if (auto const* refusal = std::get_if<Refusal>(&decision)) {
            refuse(*exchange, *refusal);
            return;
        }
        if (auto const* known = std::get_if<ClaimGate::Replay>(&decision)) {
            replay(*exchange, known->response);
            return;
        }
        auto const granted = std::get<ClaimGate::MayRun>(decision);
        auto running = request;
        if (running.pool.checksFences)
            running.upstreamCall.headers.set("Stagepost-Fence", std::to_string(granted.fence));
        m_dependencies.run(exchange, std::move(running), [this, key, granted](RequestFlow::Ending const& ending) {
            auto const now = m_dependencies.loop.now();
            if (!ending.refusal)
                m_claims.done(key, granted.nonce, recordOf(ending.result), now);
            else if (ending.refusal->verdict == Verdict::NotRun)
                m_claims.abandon(key, granted.nonce, now);
            // Otherwise the key stays held, and resends learn that it may have run.
        });
    });
}

}
