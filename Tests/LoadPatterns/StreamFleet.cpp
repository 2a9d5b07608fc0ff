#include <LoadPatterns/StreamFleet.h>

#include <algorithm>
#include <cmath>

namespace Stagepost::LoadPatterns {

namespace {

    constexpr double sampleSeconds = 0.05;
    constexpr int countsBeforeTraffic = 12;
    // What an engine reads of a prompt in a second, and how much faster it takes a
    // context from another engine.
    constexpr double tokensReadPerSecond = 48200;
    constexpr double copySpeedup = 7;
    // While an engine reads, its streams go on at an eighth of their pace: a step that
    // reads a thousand tokens takes 24 ms in place of 3.
    constexpr double heldUpByReading = 0.875;
    // The spread of prompts' lengths, as the deviation of their logarithm.
    constexpr double contextSpread = 0.7;
    constexpr double ownSpread = 1.3;
    // The spread of answers' lengths, as the deviation of their logarithm.
    constexpr double holdSpread = 0.6;
    // The users' bound: this multiple of the mean and some requests more.
    constexpr double boundMultiple = 2;
    constexpr double boundSlack = 3;
    constexpr size_t windowSeconds = 5;
    constexpr double fewestThatCount = 20;
    constexpr uint64_t hotContext = 1;
    constexpr double ledgerTickSeconds = 0.5;
    // Whoever does not answer an ask is given up by then.
    constexpr double longestPatienceSeconds = 0.025;
    // What the seal, UDP and IP add to a message.
    constexpr double headerBytes = 53;

    Instant at(double seconds)
    {
        // Far from zero, at which nothing was ever heard.
        constexpr double origin = 100;
        return Instant(Microseconds(static_cast<int64_t>((origin + seconds) * 1e6)));
    }

}

double StreamOutcome::worstBeyondBound(size_t fromSecond) const
{
    double worst = 0;
    for (size_t first = fromSecond; first + windowSeconds <= seconds.size(); ++first) {
        double sent = 0;
        double beyond = 0;
        for (size_t second = first; second < first + windowSeconds; ++second) {
            sent += static_cast<double>(seconds[second].sent);
            beyond += static_cast<double>(seconds[second].beyondBound);
        }
        worst = std::max(worst, beyond >= fewestThatCount ? beyond / sent : 0);
    }
    return worst;
}

double StreamOutcome::share(size_t Second::*part, size_t Second::*whole, size_t fromSecond, size_t untilSecond) const
{
    double parts = 0;
    double wholes = 0;
    for (size_t second = fromSecond; second < untilSecond; ++second) {
        parts += static_cast<double>(seconds[second].*part);
        wholes += static_cast<double>(seconds[second].*whole);
    }
    return wholes > 0 ? parts / wholes : 0;
}

StreamFleet::StreamFleet(StreamPattern pattern, ServicePlacement::Bounds bounds, uint64_t seed)
    : m_pattern(std::move(pattern))
    , m_random(seed)
    , m_daemons(m_pattern.daemons)
    , m_engines(m_pattern.upstreams)
    , m_bounds(bounds)
    , m_present(m_pattern.upstreams)
{
    for (size_t daemon = 0; daemon < m_daemons.size(); ++daemon)
        startDaemon(daemon);
    for (size_t daemon = 0; m_pattern.asksOwners && daemon < m_daemons.size(); ++daemon)
        m_events.push({ 0, Event::Kind::LedgerTick, daemon, 0, 0, 0, 0, 0, true });
    if (m_pattern.absence) {
        m_events.push({ m_pattern.absence->fromSecond, Event::Kind::Leave, 0, 0 });
        m_events.push({ m_pattern.absence->untilSecond, Event::Kind::Return, 0, 0 });
    }
    if (m_pattern.restartAt)
        m_events.push({ *m_pattern.restartAt, Event::Kind::Restart, 0, 0 });
    m_outcome.seconds.resize(static_cast<size_t>(std::ceil(m_pattern.seconds)));
}

void StreamFleet::startDaemon(size_t number)
{
    auto& daemon = m_daemons[number];
    auto const hook = [engine = std::make_shared<std::mt19937_64>(m_random())] { return (*engine)(); };
    daemon.placement = std::make_unique<ServicePlacement>(m_bounds, m_silence, hook);
    daemon.gate = std::make_unique<AdmissionGate>(hook);
    daemon.inFlight.clear();
    daemon.placement->setColdStartLimit(m_pattern.coldBound);
    for (size_t engine = 0; engine < m_engines.size(); ++engine)
        daemon.placement->putUpstream({ UpstreamId(engine + 1), false, m_pattern.places, false, HallId(1) });
    if (m_pattern.asksOwners)
        addLedger(number);
}

void StreamFleet::leave()
{
    if (!m_pattern.absence->countsInMean)
        m_present = m_engines.size() - m_pattern.absence->upstreams;
    for (auto& daemon : m_daemons) {
        for (size_t engine = 0; engine < m_pattern.absence->upstreams; ++engine)
            daemon.placement->putUpstream({ UpstreamId(engine + 1), false, m_pattern.places, true, HallId(1) });
    }
}

void StreamFleet::comeBack()
{
    m_present = m_engines.size();
    for (size_t engine = 0; engine < m_pattern.absence->upstreams; ++engine) {
        if (m_pattern.absence->losesContexts) {
            m_engines[engine].contexts.clear();
            m_engines[engine].readAt.clear();
        }
        if (m_pattern.absence->isCold)
            m_engines[engine].coldUntil = m_now + asSeconds(m_pattern.coldBound.duration);
        for (auto& daemon : m_daemons)
            daemon.placement->putUpstream({ UpstreamId(engine + 1), false, m_pattern.places, false, HallId(1) });
    }
    if (m_pattern.absence->isCold)
        m_events.push({ m_now + m_pattern.absence->coldToldAfterSeconds, Event::Kind::ColdTold, 0, 0 });
}

void StreamFleet::tellCold()
{
    for (auto& daemon : m_daemons) {
        for (size_t engine = 0; engine < m_pattern.absence->upstreams; ++engine)
            daemon.placement->setColdUntil(UpstreamId(engine + 1), at(m_engines[engine].coldUntil));
    }
}

void StreamFleet::noteArrival(Engine& engine, double now)
{
    if (now >= engine.coldUntil)
        return;
    auto& arrivals = engine.coldArrivals;
    arrivals.push_back(now);
    while (now - arrivals.front() >= 1)
        arrivals.pop_front();
    m_outcome.mostInAColdSecond = std::max(m_outcome.mostInAColdSecond, arrivals.size());
}

void StreamFleet::restartAll()
{
    ++m_life;
    m_messages.clear();
    for (auto& engine : m_engines) {
        m_inFlight -= engine.inFlight;
        engine.inFlight = engine.running = 0;
        engine.waiting.clear();
    }
    for (size_t daemon = 0; daemon < m_daemons.size(); ++daemon)
        startDaemon(daemon);
}

void StreamFleet::addLedger(size_t daemon)
{
    PermitExchange::Hooks hooks;
    hooks.send = [this, daemon](VMId to, std::string const& bytes) { post(m_now, { daemon, to.value() - 1, bytes }); };
    hooks.forecast = [this, daemon](UpstreamId upstream) { return m_daemons[daemon].placement->forecast(upstream, at(m_now)); };
    auto& ledger = m_daemons[daemon].ledger;
    ledger = std::make_unique<PermitExchange>(FleetPeer { VMId(daemon + 1), HallId(1) }, PermitExchange::Bounds {}, hooks);
    std::vector<FleetPeer> peers;
    for (size_t number = 0; number < m_daemons.size(); ++number)
        peers.push_back({ VMId(number + 1), HallId(1) });
    addHolders(daemon, peers);
    ledger->setPeers(std::move(peers), {}, Instant {});
}

void StreamFleet::addHolders(size_t daemon, std::vector<FleetPeer> const& peers)
{
    if (!m_pattern.asksHolders)
        return;
    HolderExchange::Hooks const hooks { [this, daemon](VMId to, std::string const& bytes) { post(m_now, { daemon, to.value() - 1, bytes, true }); } };
    auto& holders = m_daemons[daemon].holders;
    holders = std::make_unique<HolderExchange>(FleetPeer { VMId(daemon + 1), HallId(1) }, HolderExchange::Bounds {}, hooks);
    holders->setPeers(peers, {});
}

void StreamFleet::post(double now, Message message)
{
    m_outcome.ledgerBytes += headerBytes + static_cast<double>(message.bytes.size());
    if (m_pattern.lostMessages && m_random() % 100 < m_pattern.lostMessages)
        return;
    auto const number = ++m_lastMessage;
    m_messages.emplace(number, std::move(message));
    m_events.push({ now + asSeconds(m_pattern.messageTime), Event::Kind::Message, 0, 0, 0, 0, number });
}

void StreamFleet::deliver(Event const& event)
{
    auto found = m_messages.extract(event.message);
    if (!found)
        return;
    auto const message = std::move(found.mapped());
    auto& daemon = m_daemons[message.to];
    if (message.isOfHolders)
        (void)daemon.holders->receive(VMId(message.from + 1), message.bytes, at(event.at));
    else
        (void)daemon.ledger->receive(VMId(message.from + 1), message.bytes, at(event.at));
}

void StreamFleet::tickLedger(Event const& event)
{
    m_daemons[event.daemon].ledger->tick(at(event.at));
    if (auto const& holders = m_daemons[event.daemon].holders)
        holders->tick(at(event.at));
    if (event.isRegular)
        m_events.push({ event.at + ledgerTickSeconds, Event::Kind::LedgerTick, event.daemon, 0, 0, 0, 0, 0, true });
}

StreamOutcome StreamFleet::play()
{
    auto const interval = asSeconds(m_pattern.countsInterval);
    std::uniform_real_distribution<double> phase(0, interval);
    for (size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
        auto const first = phase(m_random);
        // The daemons are there before their traffic begins, and know how old counts are.
        for (int before = m_pattern.runsBeforeTraffic ? countsBeforeTraffic : 0; before > 0; --before)
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
            arrive(event.at);
            break;
        case Event::Kind::End:
            end(event);
            break;
        case Event::Kind::Counts:
            tellCounts(event);
            break;
        case Event::Kind::Sample:
            sample(event.at);
            break;
        case Event::Kind::Message:
            deliver(event);
            break;
        case Event::Kind::LedgerTick:
            tickLedger(event);
            break;
        case Event::Kind::Leave:
            leave();
            break;
        case Event::Kind::Return:
            comeBack();
            break;
        case Event::Kind::ColdTold:
            tellCold();
            break;
        case Event::Kind::Restart:
            restartAll();
            break;
        }
    }
    return std::move(m_outcome);
}

uint64_t StreamFleet::drawContext(double now, StreamKind const*& kind)
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
    // Some come back more often than others: the density falls with the rank.
    auto const rank = std::pow(uniform(m_random), 1.4) * static_cast<double>(kind->contexts);
    return firstContext + static_cast<uint64_t>(rank);
}

double StreamFleet::lengthOf(StreamKind const& kind)
{
    return drawLength(kind.holdSeconds, holdSpread);
}

double StreamFleet::drawLength(double mean, double spread)
{
    if (mean <= 0)
        return 0;
    std::lognormal_distribution<double> length(std::log(mean) - spread * spread / 2, spread);
    return length(m_random);
}

double StreamFleet::contextTokens(Request const& request)
{
    if (!m_pattern.readsLikeEngines)
        return request.kind->contextTokens;
    auto const [entry, isNew] = m_contextTokens.try_emplace(request.context, 0);
    if (isNew)
        entry->second = drawLength(request.kind->contextTokens, contextSpread);
    return entry->second;
}

double StreamFleet::readingOfContext(Request const& request, Engine& engine, double now)
{
    if (!engine.contexts.insert(request.context).second)
        return 0;
    auto const reading = contextTokens(request) / tokensReadPerSecond;
    bool const wasEverRead = !m_everRead.insert(request.context).second;
    if (!m_pattern.readsLikeEngines)
        return wasEverRead ? reading / copySpeedup : reading;
    auto const hasRead = [&](Engine const& each) {
        auto const found = each.readAt.find(request.context);
        return found != each.readAt.end() && found->second <= now;
    };
    if (request.contextSource && hasRead(m_engines[request.contextSource->value() - 1])) {
        ++m_outcome.copied;
        return reading / copySpeedup;
    }
    m_outcome.readThoughHeld += std::any_of(m_engines.begin(), m_engines.end(), hasRead) ? 1 : 0;
    return reading;
}

// What is read before the answer begins, behind what the engine reads already.
double StreamFleet::readingOf(Request const& request, Engine& engine, double now)
{
    auto const context = readingOfContext(request, engine, now);
    if (!m_pattern.readsLikeEngines)
        return context;
    auto const own = drawLength(request.kind->ownTokens, ownSpread) / tokensReadPerSecond;
    engine.readsUntil = std::max(engine.readsUntil, now) + context + own;
    engine.readSeconds += context + own;
    if (context > 0)
        engine.readAt[request.context] = engine.readsUntil;
    return engine.readsUntil - now;
}

void StreamFleet::judge(double now, Engine const& engine, uint64_t context)
{
    auto const mean = static_cast<double>(m_inFlight) / static_cast<double>(m_present);
    auto& second = m_outcome.seconds[static_cast<size_t>(now)];
    ++second.sent;
    second.beyondBound += static_cast<double>(engine.inFlight) > boundMultiple * mean + boundSlack ? 1 : 0;
    second.reused += engine.contexts.contains(context) ? 1 : 0;
}

void StreamFleet::arrive(double now)
{
    bool const isSurge = now >= m_pattern.surgeFrom && now < m_pattern.surgeUntil;
    std::exponential_distribution<double> gap(m_pattern.requestsPerSecond * (isSurge ? m_pattern.surge : 1));
    m_events.push({ now + gap(m_random), Event::Kind::Arrival, 0, 0 });
    StreamKind const* kind = nullptr;
    auto const context = drawContext(now, kind);
    place(now, *kind, context);
    while (m_random() % 100 < m_pattern.clumpShare)
        place(now, *kind, context);
}

void StreamFleet::place(double now, StreamKind const& kind, uint64_t context)
{
    ServicePlacement::Request wish;
    wish.context = context;
    auto const number = m_random() % m_daemons.size();
    auto& daemon = m_daemons[number];
    auto& second = m_outcome.seconds[static_cast<size_t>(now)];
    ++second.asked;
    if (!m_pattern.isUngated && !daemon.gate->admits(daemon.placement->occupancy(), kind.priority)) {
        ++second.refused;
        return;
    }
    if (daemon.ledger)
        askOwners(now, number, kind, context);
    else
        sendTo(now, number, kind, context, daemon.placement->choose(wish, at(now)));
}

void StreamFleet::askOwners(double now, size_t daemon, StreamKind const& kind, uint64_t context)
{
    ServicePlacement::Request wish;
    wish.context = context;
    wish.priority = kind.priority;
    auto candidates = m_daemons[daemon].placement->candidatesForOwners(wish, at(now));
    m_daemons[daemon].ledger->choose(
        { wish.context, std::move(candidates) }, [this, daemon, wish, &kind](PermitExchange::Outcome const& outcome) mutable {
            auto& placement = *m_daemons[daemon].placement;
            auto choice = placement.choiceFromOwners(wish, outcome, at(m_now));
            if (outcome.isFull) {
                ++m_outcome.seconds[static_cast<size_t>(m_now)].refused;
                return;
            }
            if (choice && outcome.isContextNew && m_daemons[daemon].holders) {
                sendFromHolders(daemon, kind, *wish.context, *choice);
                return;
            }
            if (!choice) {
                wish.avoided = outcome.exhausted;
                choice = placement.choose(wish, at(m_now));
                if (choice)
                    m_daemons[daemon].ledger->requestStarted(choice->upstream, HallId(1), at(m_now));
            }
            sendTo(m_now, daemon, kind, *wish.context, choice);
        },
        at(now));
    if (m_daemons[daemon].ledger->nextTimeout())
        m_events.push({ now + longestPatienceSeconds, Event::Kind::LedgerTick, daemon, 0 });
}

void StreamFleet::sendFromHolders(size_t daemon, StreamKind const& kind, uint64_t context, ServicePlacement::Choice const& chosen)
{
    auto& holders = *m_daemons[daemon].holders;
    holders.recordPlacement(
        context, chosen.upstream, [this, daemon, chosen, &kind, context](auto const& known) {
            auto choice = chosen;
            if (auto const source = m_daemons[daemon].placement->firstUsableSource(known, choice.upstream, at(m_now)))
                choice.contextSource = source;
            sendTo(m_now, daemon, kind, context, choice);
        },
        at(m_now));
    if (holders.nextTimeout())
        m_events.push({ m_now + longestPatienceSeconds, Event::Kind::LedgerTick, daemon, 0 });
}

void StreamFleet::sendTo(double now, size_t number, StreamKind const& kind, uint64_t context, std::optional<ServicePlacement::Choice> const& choice)
{
    if (!choice) {
        ++m_outcome.unplaced;
        return;
    }
    auto& daemon = m_daemons[number];
    auto const upstream = choice->upstream.value() - 1;
    auto& engine = m_engines[upstream];
    judge(now, engine, context);
    noteArrival(engine, now);
    ++engine.inFlight;
    ++m_inFlight;
    ++daemon.inFlight[upstream];
    daemon.placement->started(choice->upstream);
    Request const request { number, &kind, context, now, choice->contextSource };
    if (engine.running < m_pattern.places)
        run(upstream, request, now);
    else
        engine.waiting.push_back(request);
}

bool StreamFleet::isSlow(size_t upstream, double now) const
{
    return upstream < m_pattern.slowUpstreams && now >= m_pattern.slowFrom && now < m_pattern.slowUntil;
}

void StreamFleet::run(size_t upstream, Request const& request, double now)
{
    auto& engine = m_engines[upstream];
    ++engine.running;
    auto const slowness = isSlow(upstream, now) ? m_pattern.slowness : 1;
    auto const begun = now + slowness * readingOf(request, engine, now);
    if (begun - request.arrivedAt <= request.kind->objectiveSeconds)
        ++m_outcome.seconds[static_cast<size_t>(request.arrivedAt)].inTime;
    m_events.push({ begun + slowness * lengthOf(*request.kind), Event::Kind::End, request.daemon, upstream, request.arrivedAt, engine.readSeconds, 0, m_life });
}

// Whether the engine has read something meanwhile, so that the request ends later.
bool StreamFleet::isHeldUp(Event const& event)
{
    auto const& engine = m_engines[event.upstream];
    if (!m_pattern.readsLikeEngines || engine.readSeconds <= event.readSeconds)
        return false;
    auto later = event;
    later.at += heldUpByReading * (engine.readSeconds - event.readSeconds);
    later.readSeconds = engine.readSeconds;
    m_events.push(later);
    return true;
}

void StreamFleet::end(Event const& event)
{
    if (event.life != m_life || isHeldUp(event))
        return;
    auto& engine = m_engines[event.upstream];
    --engine.inFlight;
    --engine.running;
    --m_inFlight;
    if (!engine.waiting.empty()) {
        auto const next = engine.waiting.front();
        engine.waiting.pop_front();
        run(event.upstream, next, event.at);
    }
    auto& daemon = m_daemons[event.daemon];
    --daemon.inFlight[event.upstream];
    daemon.placement->finished(UpstreamId(event.upstream + 1), SendOutcome::Succeeded, Milliseconds(40), Microseconds(static_cast<int64_t>((event.at - event.startedAt) * 1e6)), at(event.at));
    if (daemon.ledger)
        daemon.ledger->requestFinished(UpstreamId(event.upstream + 1), at(event.at));
}

void StreamFleet::sample(double now)
{
    auto& counts = m_history.emplace_back();
    for (auto const& engine : m_engines)
        counts.push_back(engine.inFlight);
    m_events.push({ now + sampleSeconds, Event::Kind::Sample, 0, 0 });
}

// What the fleet had in flight so long ago, without what this daemon has.
void StreamFleet::tellCounts(Event const& event)
{
    m_events.push({ event.at + asSeconds(m_pattern.countsInterval), Event::Kind::Counts, event.daemon, 0 });
    auto const then = static_cast<int64_t>((event.at - asSeconds(m_pattern.countsAge)) / sampleSeconds);
    if (then < 0 && !m_pattern.runsBeforeTraffic)
        return;
    auto& daemon = m_daemons[event.daemon];
    std::map<UpstreamId, size_t> counts;
    for (size_t upstream = 0; upstream < m_engines.size(); ++upstream) {
        auto const all = then < 0 ? 0 : m_history[static_cast<size_t>(then)][upstream];
        if (auto const others = all - std::min(all, daemon.inFlight[upstream]))
            counts[UpstreamId(upstream + 1)] = others;
    }
    daemon.placement->updateOthersInFlight(counts, m_pattern.countsAge, at(event.at));
}

}
