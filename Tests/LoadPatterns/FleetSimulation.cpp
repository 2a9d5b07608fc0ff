#include <LoadPatterns/FleetSimulation.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Stagepost::LoadPatterns {

namespace {

    constexpr double sampleSeconds = 0.05;
    constexpr int countsUpdatesBeforeTraffic = 12;
    // The prefill rate of an engine, and how much faster it fetches a context from another engine.
    constexpr double prefillTokensPerSecond = 48200;
    constexpr double contextTransferSpeedup = 7;
    // During prefill an engine's streams decode at an eighth of their speed: a step that prefills a
    // thousand tokens takes 24 ms instead of 3 ms.
    constexpr double decodeSlowdownDuringPrefill = 0.875;
    // Standard deviation of the logarithm of prompt lengths.
    constexpr double contextSpread = 0.7;
    constexpr double uniqueTokensSpread = 1.3;
    // Standard deviation of the logarithm of answer durations.
    constexpr double answerSpread = 0.6;
    // The users' bound on an upstream's requests in flight: a multiple of the mean plus a constant.
    constexpr double boundMultiple = 2;
    constexpr double boundSlack = 3;
    constexpr size_t windowSeconds = 5;
    constexpr double minCountedRequests = 20;
    constexpr uint64_t hotContext = 1;
    constexpr RolloutId rolloutOrder { 1 };
    // Where all daemons are available, only timeouts of asks and periodic reports depend on the ticks.
    constexpr double exchangeTickSeconds = 0.5;
    constexpr double exchangeTickSecondsWithOutages = 0.05;
    // By this time an unanswered ask has timed out.
    constexpr double askTimeoutSeconds = 0.025;
    // Added to each message by its authentication, UDP and IP.
    constexpr double messageOverheadBytes = 53;

    Instant at(double seconds)
    {
        // Keeps simulated times away from zero, which means that nothing has been received yet.
        constexpr double origin = 100;
        return Instant(Microseconds(static_cast<int64_t>((origin + seconds) * 1e6)));
    }

}

double SimulationResult::worstBeyondBound(size_t fromSecond) const
{
    double worst = 0;
    for (size_t first = fromSecond; first + windowSeconds <= seconds.size(); ++first) {
        double sent = 0;
        double beyond = 0;
        for (size_t second = first; second < first + windowSeconds; ++second) {
            sent += static_cast<double>(seconds[second].sent);
            beyond += static_cast<double>(seconds[second].beyondBound);
        }
        worst = std::max(worst, beyond >= minCountedRequests ? beyond / sent : 0);
    }
    return worst;
}

double SimulationResult::share(size_t Second::*part, size_t Second::*whole, size_t fromSecond, size_t untilSecond) const
{
    double parts = 0;
    double wholes = 0;
    for (size_t second = fromSecond; second < untilSecond; ++second) {
        parts += static_cast<double>(seconds[second].*part);
        wholes += static_cast<double>(seconds[second].*whole);
    }
    return wholes > 0 ? parts / wholes : 0;
}

FleetSimulation::FleetSimulation(LoadPattern pattern, ServicePlacement::Bounds bounds, uint64_t seed)
    : m_pattern(std::move(pattern))
    , m_random(seed)
    , m_daemons(m_pattern.daemons)
    , m_engines(m_pattern.upstreams)
    , m_bounds(bounds)
    , m_upstreamsInMean(m_pattern.upstreams)
{
    for (size_t daemon = 0; daemon < m_daemons.size(); ++daemon)
        startDaemon(daemon);
    for (size_t daemon = 0; m_pattern.asksOwners && daemon < m_daemons.size(); ++daemon)
        m_events.push({ 0, Event::Kind::ExchangeTick, daemon, 0, 0, 0, 0, 0, true });
    if (m_pattern.outage) {
        m_events.push({ m_pattern.outage->fromSecond, Event::Kind::OutageBegin, 0, 0 });
        m_events.push({ m_pattern.outage->untilSecond, Event::Kind::OutageEnd, 0, 0 });
    }
    if (m_pattern.restartAtSecond)
        m_events.push({ *m_pattern.restartAtSecond, Event::Kind::Restart, 0, 0 });
    if (m_pattern.daemonOutages)
        m_events.push({ m_pattern.daemonOutages->fromSecond, Event::Kind::DaemonOutageBegin, 0, 0 });
    m_result.seconds.resize(static_cast<size_t>(std::ceil(m_pattern.seconds)));
}

void FleetSimulation::startDaemon(size_t number)
{
    auto& daemon = m_daemons[number];
    auto const hook = [engine = std::make_shared<std::mt19937_64>(m_random())] { return (*engine)(); };
    daemon.placement = std::make_unique<ServicePlacement>(m_bounds, m_silence, hook);
    daemon.gate = std::make_unique<AdmissionGate>(hook);
    daemon.inFlight.clear();
    daemon.placement->setColdStartLimit(m_pattern.coldStartLimit);
    for (size_t engine = 0; engine < m_engines.size(); ++engine)
        daemon.placement->putUpstream({ UpstreamId(engine + 1), false, m_pattern.slots, false, HallId(1) });
    if (m_pattern.versionChange) {
        RolloutSchedule schedule;
        schedule.share = m_pattern.versionChange->share;
        daemon.exposureLimit = std::make_unique<ExposureLimit>(schedule, rolloutOrder, hook);
        updateRoles(daemon);
    }
    if (m_pattern.asksOwners)
        createPermitExchange(number);
}

bool FleetSimulation::isNew(size_t engine) const
{
    return m_pattern.versionChange && engine >= m_engines.size() - m_pattern.versionChange->newUpstreams;
}

RouteId FleetSimulation::routeOf(RequestClass const& kind) const
{
    return RouteId(static_cast<uint64_t>(&kind - m_pattern.kinds.data()) + 1);
}

void FleetSimulation::scheduleVersionSteps()
{
    if (!m_pattern.versionChange)
        return;
    std::uniform_real_distribution<double> delay(0, m_pattern.versionChange->maxDelaySeconds);
    auto const& steps = m_pattern.versionChange->steps;
    for (size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
        for (size_t step = 0; step < steps.size(); ++step)
            m_events.push({ steps[step].atSecond + delay(m_random), Event::Kind::VersionStep, daemon, 0, 0, 0, step });
    }
}

void FleetSimulation::applyVersionStep(Event const& event)
{
    auto& daemon = m_daemons[event.daemon];
    auto const phase = m_pattern.versionChange->steps[event.message].phase;
    // A daemon may learn of a later step first.
    if (daemon.phase && phase < *daemon.phase)
        return;
    daemon.phase = phase;
    updateRoles(daemon);
}

void FleetSimulation::updateRoles(Daemon& daemon)
{
    bool const hasMoved = daemon.phase && *daemon.phase == RolloutPhase::Moved;
    bool const isTried = daemon.phase && !hasMoved && *daemon.phase != RolloutPhase::RolledBack;
    std::vector<UpstreamId> newUpstreams;
    for (size_t engine = 0; engine < m_engines.size(); ++engine) {
        if (isNew(engine))
            newUpstreams.emplace_back(engine + 1);
    }
    RolloutSchedule schedule;
    schedule.share = m_pattern.versionChange->share;
    std::vector<UpstreamId> trialSet;
    if (isTried)
        trialSet = selectTrialSet(rolloutOrder, newUpstreams, m_engines.size() - newUpstreams.size(), schedule.shareIn(*daemon.phase));
    for (size_t engine = 0; engine < m_engines.size(); ++engine) {
        UpstreamId const id { engine + 1 };
        auto role = isNew(engine) == hasMoved ? UpstreamRole::Serving : UpstreamRole::Excluded;
        if (std::find(trialSet.begin(), trialSet.end(), id) != trialSet.end())
            role = UpstreamRole::Candidate;
        daemon.placement->putUpstream({ id, false, m_pattern.slots, false, HallId(1), role });
    }
}

UpstreamRole FleetSimulation::roleForRequest(Daemon& daemon, RequestClass const& kind, uint64_t context)
{
    if (!daemon.exposureLimit || !daemon.phase || *daemon.phase >= RolloutPhase::Moved)
        return UpstreamRole::Serving;
    daemon.exposureLimit->requested(routeOf(kind));
    return daemon.exposureLimit->shouldTry(*daemon.phase, routeOf(kind), context) ? UpstreamRole::Candidate : UpstreamRole::Serving;
}

bool FleetSimulation::maySendTo(Daemon const& daemon, UpstreamRole role) const
{
    return role == UpstreamRole::Serving || daemon.exposureLimit->allows(*daemon.phase);
}

void FleetSimulation::beginOutage()
{
    if (!m_pattern.outage->countsInMean)
        m_upstreamsInMean = m_engines.size() - m_pattern.outage->upstreams;
    for (auto& daemon : m_daemons) {
        for (size_t engine = 0; engine < m_pattern.outage->upstreams; ++engine)
            daemon.placement->putUpstream({ UpstreamId(engine + 1), false, m_pattern.slots, true, HallId(1) });
    }
}

void FleetSimulation::endOutage()
{
    m_upstreamsInMean = m_engines.size();
    for (size_t engine = 0; engine < m_pattern.outage->upstreams; ++engine) {
        if (m_pattern.outage->losesContexts) {
            m_engines[engine].contexts.clear();
            m_engines[engine].contextReadyAt.clear();
        }
        if (m_pattern.outage->isCold)
            m_engines[engine].coldUntil = m_now + asSeconds(m_pattern.coldStartLimit.duration);
        for (auto& daemon : m_daemons)
            daemon.placement->putUpstream({ UpstreamId(engine + 1), false, m_pattern.slots, false, HallId(1) });
    }
    if (m_pattern.outage->isCold)
        m_events.push({ m_now + m_pattern.outage->coldReportDelaySeconds, Event::Kind::ColdReport, 0, 0 });
}

void FleetSimulation::reportCold()
{
    for (auto& daemon : m_daemons) {
        for (size_t engine = 0; engine < m_pattern.outage->upstreams; ++engine)
            daemon.placement->setColdUntil(UpstreamId(engine + 1), at(m_engines[engine].coldUntil));
    }
}

void FleetSimulation::recordColdArrival(Engine& engine, double now)
{
    if (now >= engine.coldUntil)
        return;
    auto& arrivals = engine.coldArrivals;
    arrivals.push_back(now);
    while (now - arrivals.front() >= 1)
        arrivals.pop_front();
    m_result.maxColdRequestsPerSecond = std::max(m_result.maxColdRequestsPerSecond, arrivals.size());
}

void FleetSimulation::restartDaemons()
{
    m_messages.clear();
    for (size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
        abortRequests(daemon);
        startDaemon(daemon);
    }
}

void FleetSimulation::abortRequests(size_t number)
{
    auto& daemon = m_daemons[number];
    ++daemon.generation;
    for (auto const& [upstream, count] : daemon.inFlight) {
        auto& engine = m_engines[upstream];
        auto const waiting = std::erase_if(engine.waiting, [number](Request const& request) { return request.daemon == number; });
        engine.running -= count - waiting;
        engine.inFlight -= count;
        m_inFlight -= count;
        startWaiting(upstream, m_now);
    }
    daemon.inFlight.clear();
}

void FleetSimulation::beginDaemonOutage()
{
    auto const& outages = *m_pattern.daemonOutages;
    m_events.push({ m_now + outages.durationSeconds, Event::Kind::DaemonOutageEnd, 0, 0 });
    m_events.push({ m_now + outages.intervalSeconds, Event::Kind::DaemonOutageBegin, 0, 0 });
    auto const count = static_cast<size_t>(outages.share * static_cast<double>(m_daemons.size()));
    for (size_t index = 0; index < count; ++index) {
        auto const number = drawAvailableDaemon();
        m_daemons[number].isAvailable = false;
        if (outages.kind == DaemonOutages::Kind::Restart)
            abortRequests(number);
    }
}

void FleetSimulation::endDaemonOutage()
{
    for (size_t number = 0; number < m_daemons.size(); ++number) {
        auto& daemon = m_daemons[number];
        if (daemon.isAvailable)
            continue;
        daemon.isAvailable = true;
        if (m_pattern.daemonOutages->kind == DaemonOutages::Kind::Restart)
            startDaemon(number);
        for (auto const& event : std::exchange(daemon.waitingEvents, {}))
            event.kind == Event::Kind::Message ? deliverMessage(event) : finishAtDaemon(event);
        if (daemon.permitExchange)
            daemon.permitExchange->tick(at(m_now));
    }
}

// Returns whether the daemon is unavailable. If it is only paused, it handles the event later.
bool FleetSimulation::waitsForDaemon(Event const& event, size_t number)
{
    auto& daemon = m_daemons[number];
    if (daemon.isAvailable)
        return false;
    if (m_pattern.daemonOutages->kind == DaemonOutages::Kind::Pause)
        daemon.waitingEvents.push_back(event);
    return true;
}

size_t FleetSimulation::drawAvailableDaemon()
{
    while (true) {
        auto const number = m_random() % m_daemons.size();
        if (m_daemons[number].isAvailable)
            return number;
    }
}

void FleetSimulation::createPermitExchange(size_t daemon)
{
    PermitExchange::Hooks hooks;
    hooks.send = [this, daemon](VMId to, std::string const& bytes) { sendMessage(m_now, { daemon, to.value() - 1, bytes }); };
    hooks.forecast = [this, daemon](UpstreamId upstream) { return m_daemons[daemon].placement->forecast(upstream, at(m_now)); };
    hooks.random = [this] { return m_questionRandom(); };
    auto& permitExchange = m_daemons[daemon].permitExchange;
    permitExchange = std::make_unique<PermitExchange>(FleetPeer { VMId(daemon + 1), HallId(1) }, PermitExchange::Bounds {}, hooks);
    std::vector<FleetPeer> peers;
    for (size_t number = 0; number < m_daemons.size(); ++number)
        peers.push_back({ VMId(number + 1), HallId(1) });
    createHolderExchange(daemon, peers);
    permitExchange->setPeers(std::move(peers), {}, m_now > 0 ? at(m_now) : Instant {});
}

void FleetSimulation::createHolderExchange(size_t daemon, std::vector<FleetPeer> const& peers)
{
    if (!m_pattern.asksHolders)
        return;
    HolderExchange::Hooks const hooks { [this, daemon](VMId to, std::string const& bytes) { sendMessage(m_now, { daemon, to.value() - 1, bytes, true }); }, [this] { return m_questionRandom(); } };
    auto& holderExchange = m_daemons[daemon].holderExchange;
    holderExchange = std::make_unique<HolderExchange>(FleetPeer { VMId(daemon + 1), HallId(1) }, HolderExchange::Bounds {}, hooks);
    holderExchange->setPeers(peers, {});
}

void FleetSimulation::sendMessage(double now, Message message)
{
    // The daemons have been running for a while when the simulation begins.
    if (!m_isRunning)
        return;
    m_result.controlBytes += messageOverheadBytes + static_cast<double>(message.bytes.size());
    if (m_pattern.messageLossPercent && m_random() % 100 < m_pattern.messageLossPercent)
        return;
    auto const number = ++m_lastMessageNumber;
    m_messages.emplace(number, std::move(message));
    m_events.push({ now + asSeconds(m_pattern.messageLatency), Event::Kind::Message, 0, 0, 0, 0, number });
}

void FleetSimulation::deliverMessage(Event const& event)
{
    auto const waiting = m_messages.find(event.message);
    if (waiting == m_messages.end() || waitsForDaemon(event, waiting->second.to))
        return;
    auto const message = std::move(m_messages.extract(waiting).mapped());
    auto& daemon = m_daemons[message.to];
    if (message.isForHolderExchange)
        (void)daemon.holderExchange->receive(VMId(message.from + 1), message.bytes, at(m_now));
    else
        (void)daemon.permitExchange->receive(VMId(message.from + 1), message.bytes, at(m_now));
}

void FleetSimulation::tickExchanges(Event const& event)
{
    auto& daemon = m_daemons[event.daemon];
    if (daemon.isAvailable) {
        daemon.permitExchange->tick(at(event.at));
        if (daemon.holderExchange)
            daemon.holderExchange->tick(at(event.at));
    }
    if (event.isPeriodic)
        m_events.push({ event.at + (m_pattern.daemonOutages ? exchangeTickSecondsWithOutages : exchangeTickSeconds), Event::Kind::ExchangeTick, event.daemon, 0, 0, 0, 0, 0, true });
}

SimulationResult FleetSimulation::simulate()
{
    m_isRunning = true;
    auto const interval = asSeconds(m_pattern.countsInterval);
    scheduleVersionSteps();
    std::uniform_real_distribution<double> phase(0, interval);
    for (size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
        auto const first = phase(m_random);
        // The daemons start before the traffic and have learned the age of the counts by then.
        for (int before = m_pattern.startsBeforeTraffic ? countsUpdatesBeforeTraffic : 0; before > 0; --before)
            m_daemons[daemon].placement->updateOthersInFlight({}, m_pattern.countsAge, at(first - before * interval));
        m_events.push({ first, Event::Kind::Counts, daemon, 0 });
    }
    m_events.push({ 0, Event::Kind::Sample, 0, 0 });
    m_events.push({ 0, Event::Kind::Arrival, 0, 0 });
    while (!m_events.empty() && m_events.top().at < m_pattern.seconds) {
        auto const event = m_events.top();
        m_events.pop();
        m_now = event.at;
        switch (event.kind) {
        case Event::Kind::Arrival:
            handleArrival(event.at);
            break;
        case Event::Kind::End:
            end(event);
            break;
        case Event::Kind::Counts:
            deliverCounts(event);
            break;
        case Event::Kind::Sample:
            sample(event.at);
            break;
        case Event::Kind::Message:
            deliverMessage(event);
            break;
        case Event::Kind::ExchangeTick:
            tickExchanges(event);
            break;
        case Event::Kind::OutageBegin:
            beginOutage();
            break;
        case Event::Kind::OutageEnd:
            endOutage();
            break;
        case Event::Kind::ColdReport:
            reportCold();
            break;
        case Event::Kind::Restart:
            restartDaemons();
            break;
        case Event::Kind::DaemonOutageBegin:
            beginDaemonOutage();
            break;
        case Event::Kind::DaemonOutageEnd:
            endDaemonOutage();
            break;
        case Event::Kind::VersionStep:
            applyVersionStep(event);
            break;
        }
    }
    return std::move(m_result);
}

uint64_t FleetSimulation::drawContext(double now, RequestClass const*& kind)
{
    std::uniform_real_distribution<double> uniform(0, 1);
    kind = &m_pattern.kinds.front();
    auto const& hot = m_pattern.hot;
    if (hot && now >= hot->fromSecond && now < hot->untilSecond && uniform(m_random) < hot->share)
        return hotContext;
    auto point = uniform(m_random);
    uint64_t firstContext = hotContext + 1;
    for (auto const& each : m_pattern.kinds) {
        kind = &each;
        if (point < each.share)
            break;
        point -= each.share;
        firstContext += each.contexts;
    }
    // Contexts are not equally popular: the probability falls with the rank.
    auto const rank = std::pow(uniform(m_random), 1.4) * static_cast<double>(kind->contexts);
    return firstContext + static_cast<uint64_t>(rank);
}

double FleetSimulation::drawAnswerSeconds(RequestClass const& kind)
{
    return drawLognormal(kind.answerSeconds, answerSpread);
}

double FleetSimulation::drawLognormal(double mean, double spread)
{
    if (mean <= 0)
        return 0;
    std::lognormal_distribution<double> length(std::log(mean) - spread * spread / 2, spread);
    return length(m_random);
}

double FleetSimulation::contextTokens(Request const& request)
{
    if (!m_pattern.modelsPrefill)
        return request.kind->contextTokens;
    auto const [entry, isNew] = m_contextTokens.try_emplace(request.context, 0);
    if (isNew)
        entry->second = drawLognormal(request.kind->contextTokens, contextSpread);
    return entry->second;
}

double FleetSimulation::contextPrefillSeconds(Request const& request, Engine& engine, double now)
{
    if (!engine.contexts.insert(request.context).second)
        return 0;
    auto const prefillSeconds = contextTokens(request) / prefillTokensPerSecond;
    bool const wasPrefilled = !m_prefilledContexts.insert(request.context).second;
    if (!m_pattern.modelsPrefill)
        return wasPrefilled ? prefillSeconds / contextTransferSpeedup : prefillSeconds;
    auto const holdsContext = [&](Engine const& each) {
        auto const found = each.contextReadyAt.find(request.context);
        return found != each.contextReadyAt.end() && found->second <= now;
    };
    if (request.contextSource && holdsContext(m_engines[request.contextSource->value() - 1])) {
        ++m_result.transferredContexts;
        return prefillSeconds / contextTransferSpeedup;
    }
    m_result.redundantPrefills += std::any_of(m_engines.begin(), m_engines.end(), holdsContext) ? 1 : 0;
    return prefillSeconds;
}

// The time until the answer starts: the request's prefill, queued behind the engine's current one.
double FleetSimulation::prefillDelay(Request const& request, Engine& engine, double now)
{
    auto const context = contextPrefillSeconds(request, engine, now);
    if (!m_pattern.modelsPrefill)
        return context;
    auto const uniqueSeconds = drawLognormal(request.kind->uniqueTokens, uniqueTokensSpread) / prefillTokensPerSecond;
    engine.prefillsUntil = std::max(engine.prefillsUntil, now) + context + uniqueSeconds;
    engine.totalPrefillSeconds += context + uniqueSeconds;
    if (context > 0)
        engine.contextReadyAt[request.context] = engine.prefillsUntil;
    return engine.prefillsUntil - now;
}

void FleetSimulation::recordSend(double now, Engine const& engine, uint64_t context)
{
    auto const mean = static_cast<double>(m_inFlight) / static_cast<double>(m_upstreamsInMean);
    auto& second = m_result.seconds[static_cast<size_t>(now)];
    ++second.sent;
    second.beyondBound += static_cast<double>(engine.inFlight) > boundMultiple * mean + boundSlack ? 1 : 0;
    second.reused += engine.contexts.contains(context) ? 1 : 0;
}

void FleetSimulation::handleArrival(double now)
{
    bool const isSurge = now >= m_pattern.surgeFromSecond && now < m_pattern.surgeUntilSecond;
    std::exponential_distribution<double> gap(m_pattern.requestsPerSecond * (isSurge ? m_pattern.surgeFactor : 1));
    m_events.push({ now + gap(m_random), Event::Kind::Arrival, 0, 0 });
    RequestClass const* kind = nullptr;
    auto const context = drawContext(now, kind);
    placeRequest(now, *kind, context);
    while (m_random() % 100 < m_pattern.batchPercent)
        placeRequest(now, *kind, context);
}

void FleetSimulation::placeRequest(double now, RequestClass const& kind, uint64_t context)
{
    ServicePlacement::Request placementRequest;
    placementRequest.context = context;
    auto const number = drawAvailableDaemon();
    auto& daemon = m_daemons[number];
    auto& second = m_result.seconds[static_cast<size_t>(now)];
    ++second.arrived;
    if (!m_pattern.admitsAll && !daemon.gate->admits(daemon.placement->occupancy(), kind.priority)) {
        ++second.refused;
        return;
    }
    auto const role = roleForRequest(daemon, kind, context);
    if (daemon.permitExchange) {
        askOwners(now, number, kind, context, role);
        return;
    }
    placementRequest.role = role;
    auto choice = daemon.placement->choose(placementRequest, at(now));
    if (!choice && role == UpstreamRole::Candidate) {
        ++m_result.servedByOldInstead;
        placementRequest.role = UpstreamRole::Serving;
        choice = daemon.placement->choose(placementRequest, at(now));
    }
    sendTo(now, number, kind, context, choice);
}

void FleetSimulation::askOwners(double now, size_t daemon, RequestClass const& kind, uint64_t context, UpstreamRole role)
{
    ServicePlacement::Request placementRequest;
    placementRequest.context = context;
    placementRequest.priority = kind.priority;
    placementRequest.role = role;
    auto candidates = m_daemons[daemon].placement->candidatesForOwners(placementRequest, at(now));
    m_daemons[daemon].permitExchange->choose(
        { placementRequest.context, std::move(candidates) }, [this, daemon, placementRequest, &kind](PermitExchange::Outcome const& outcome) mutable {
            auto& placement = *m_daemons[daemon].placement;
            auto choice = placement.choiceFromOwners(placementRequest, outcome, at(m_now));
            if (placementRequest.role == UpstreamRole::Candidate && (!choice || !maySendTo(m_daemons[daemon], placementRequest.role))) {
                if (outcome.upstream)
                    m_daemons[daemon].permitExchange->requestFinished(*outcome.upstream, at(m_now));
                ++m_result.servedByOldInstead;
                askOwners(m_now, daemon, kind, *placementRequest.context, UpstreamRole::Serving);
                return;
            }
            if (outcome.isFull) {
                ++m_result.seconds[static_cast<size_t>(m_now)].refused;
                return;
            }
            if (choice && outcome.isContextNew && m_daemons[daemon].holderExchange) {
                sendFromHolders(daemon, kind, *placementRequest.context, *choice);
                return;
            }
            if (!choice) {
                placementRequest.avoided = outcome.exhausted;
                choice = placement.choose(placementRequest, at(m_now));
                if (choice)
                    m_daemons[daemon].permitExchange->requestStarted(choice->upstream, HallId(1), at(m_now));
            }
            sendTo(m_now, daemon, kind, *placementRequest.context, choice);
        },
        at(now));
    if (m_daemons[daemon].permitExchange->nextTimeout())
        m_events.push({ now + askTimeoutSeconds, Event::Kind::ExchangeTick, daemon, 0 });
}

void FleetSimulation::sendFromHolders(size_t daemon, RequestClass const& kind, uint64_t context, ServicePlacement::Choice const& chosen)
{
    auto& holderExchange = *m_daemons[daemon].holderExchange;
    holderExchange.recordPlacement(
        context, chosen.upstream, [this, daemon, chosen, &kind, context](auto const& known) {
            auto choice = chosen;
            if (auto const source = m_daemons[daemon].placement->firstUsableSource(known, choice.upstream, at(m_now)))
                choice.contextSource = source;
            sendTo(m_now, daemon, kind, context, choice);
        },
        at(m_now));
    if (holderExchange.nextTimeout())
        m_events.push({ m_now + askTimeoutSeconds, Event::Kind::ExchangeTick, daemon, 0 });
}

void FleetSimulation::sendTo(double now, size_t number, RequestClass const& kind, uint64_t context, std::optional<ServicePlacement::Choice> const& choice)
{
    if (!choice) {
        ++m_result.unplaced;
        return;
    }
    auto& daemon = m_daemons[number];
    auto const upstream = choice->upstream.value() - 1;
    auto& engine = m_engines[upstream];
    recordSend(now, engine, context);
    if (isNew(upstream)) {
        ++m_result.seconds[static_cast<size_t>(now)].sentToNew;
        daemon.exposureLimit->sentToNew(routeOf(kind));
    }
    recordColdArrival(engine, now);
    ++engine.inFlight;
    ++m_inFlight;
    ++daemon.inFlight[upstream];
    daemon.placement->started(choice->upstream);
    Request const request { number, &kind, context, now, choice->contextSource };
    if (engine.running < m_pattern.slots)
        startRequest(upstream, request, now);
    else
        engine.waiting.push_back(request);
}

bool FleetSimulation::isSlow(size_t upstream, double now) const
{
    return upstream < m_pattern.slowUpstreams && now >= m_pattern.slowFromSecond && now < m_pattern.slowUntilSecond;
}

void FleetSimulation::startRequest(size_t upstream, Request const& request, double now)
{
    auto& engine = m_engines[upstream];
    ++engine.running;
    auto const slowdownFactor = isSlow(upstream, now) ? m_pattern.slowdownFactor : 1;
    auto const startsAt = now + slowdownFactor * prefillDelay(request, engine, now);
    if (startsAt - request.arrivedAt <= request.kind->startObjectiveSeconds)
        ++m_result.seconds[static_cast<size_t>(request.arrivedAt)].inTime;
    m_events.push({ startsAt + slowdownFactor * drawAnswerSeconds(*request.kind), Event::Kind::End, request.daemon, upstream, request.arrivedAt, engine.totalPrefillSeconds, 0, m_daemons[request.daemon].generation });
}

// Postpones the end of a request if the engine has started other prefills since it was scheduled.
bool FleetSimulation::rescheduleIfDelayed(Event const& event)
{
    auto const& engine = m_engines[event.upstream];
    if (!m_pattern.modelsPrefill || engine.totalPrefillSeconds <= event.totalPrefillSeconds)
        return false;
    auto later = event;
    later.at += decodeSlowdownDuringPrefill * (engine.totalPrefillSeconds - event.totalPrefillSeconds);
    later.totalPrefillSeconds = engine.totalPrefillSeconds;
    m_events.push(later);
    return true;
}

void FleetSimulation::end(Event const& event)
{
    if (event.generation != m_daemons[event.daemon].generation || rescheduleIfDelayed(event))
        return;
    auto& engine = m_engines[event.upstream];
    --engine.inFlight;
    --engine.running;
    --m_inFlight;
    startWaiting(event.upstream, event.at);
    if (!waitsForDaemon(event, event.daemon))
        finishAtDaemon(event);
}

void FleetSimulation::startWaiting(size_t upstream, double now)
{
    auto& engine = m_engines[upstream];
    while (!engine.waiting.empty() && engine.running < m_pattern.slots) {
        auto const next = engine.waiting.front();
        engine.waiting.pop_front();
        startRequest(upstream, next, now);
    }
}

void FleetSimulation::finishAtDaemon(Event const& event)
{
    auto& daemon = m_daemons[event.daemon];
    --daemon.inFlight[event.upstream];
    if (daemon.exposureLimit && daemon.phase)
        daemon.exposureLimit->answered();
    daemon.placement->finished(UpstreamId(event.upstream + 1), SendOutcome::Succeeded, Milliseconds(40), Microseconds(static_cast<int64_t>((event.at - event.startedAt) * 1e6)), at(m_now));
    if (daemon.permitExchange)
        daemon.permitExchange->requestFinished(UpstreamId(event.upstream + 1), at(m_now));
}

void FleetSimulation::sample(double now)
{
    auto& counts = m_history.emplace_back();
    for (auto const& engine : m_engines)
        counts.push_back(engine.inFlight);
    m_events.push({ now + sampleSeconds, Event::Kind::Sample, 0, 0 });
}

// Gives the daemon the fleet's requests in flight as of countsAge ago, less its own current ones.
void FleetSimulation::deliverCounts(Event const& event)
{
    m_events.push({ event.at + asSeconds(m_pattern.countsInterval), Event::Kind::Counts, event.daemon, 0 });
    auto const then = static_cast<int64_t>((event.at - asSeconds(m_pattern.countsAge)) / sampleSeconds);
    if (then < 0 && !m_pattern.startsBeforeTraffic)
        return;
    auto& daemon = m_daemons[event.daemon];
    if (!daemon.isAvailable)
        return;
    std::map<UpstreamId, size_t> counts;
    for (size_t upstream = 0; upstream < m_engines.size(); ++upstream) {
        auto const all = then < 0 ? 0 : m_history[static_cast<size_t>(then)][upstream];
        if (auto const others = all - std::min(all, daemon.inFlight[upstream]))
            counts[UpstreamId(upstream + 1)] = others;
    }
    daemon.placement->updateOthersInFlight(counts, m_pattern.countsAge, at(event.at));
}

}
