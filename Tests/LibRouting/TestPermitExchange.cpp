#include <LibRouting/Routing.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace Stagepost;

namespace {

Instant const start { Seconds(1000) };
constexpr Microseconds step { 500 };
constexpr Microseconds tickInterval { 5000 };
constexpr Microseconds holdTime { 1000000 };
constexpr UpstreamId upstream { 77 };
constexpr UpstreamId other { 78 };
constexpr HallId north { 1 };

Instant at(double seconds)
{
    return start + Microseconds(static_cast<int64_t>(seconds * 1e6));
}

// Simulated daemons whose messages take one step, except for those of unresponsive daemons.
class Fleet {
public:
    explicit Fleet(size_t size, double loss = 0)
        : m_loss(loss)
    {
        m_peers.reserve(size);
        for (size_t number = 1; number <= size; ++number)
            m_peers.push_back({ VMId(number), number % 2 ? north : HallId(2) });
        for (size_t number = 1; number <= size; ++number)
            start(number);
    }

    void start(size_t number)
    {
        PermitExchange::Hooks hooks;
        hooks.random = [this] { return m_random(); };
        hooks.send = [this, number](VMId to, std::string const& bytes) { send(number, to, bytes); };
        hooks.forecast = [this](UpstreamId) { return UpstreamForecast { forecast, holdTime, coldBound, isCold, canAlwaysEnforceColdBound }; };
        auto& daemon = m_daemons[VMId(number)];
        daemon = std::make_unique<PermitExchange>(m_peers[number - 1], PermitExchange::Bounds {}, hooks);
        daemon->setPeers(m_peers, {}, now);
    }

    // Removes the daemon, and updates the peers of all others.
    void removeDaemon(size_t number)
    {
        std::erase_if(m_peers, [number](auto const& peer) { return peer.id == VMId(number); });
        m_daemons.erase(VMId(number));
        for (auto const& [id, each] : m_daemons)
            each->setPeers(m_peers, {}, now);
    }

    // Removes a daemon from the peers of a single other one.
    void removePeer(size_t number, size_t removed)
    {
        auto peers = m_peers;
        std::erase_if(peers, [removed](auto const& peer) { return peer.id == VMId(removed); });
        daemon(number).setPeers(peers, {}, now);
    }

    size_t size() const { return m_peers.size(); }

    void makeRelays(std::set<size_t> const& relays)
    {
        run(Milliseconds(5));
        std::vector<VMId> ids;
        ids.reserve(relays.size());
        for (auto const relay : relays)
            ids.emplace_back(relay);
        for (auto const& [id, each] : m_daemons)
            each->setPeers(m_peers, ids, now);
    }

    PermitExchange& daemon(size_t number) { return *m_daemons.at(VMId(number)); }

    // The outcome of a choice, and how long it took.
    struct TimedOutcome {
        PermitExchange::Outcome outcome;
        Microseconds elapsed { 0 };
    };
    TimedOutcome choose(size_t number, size_t limit, std::vector<UpstreamId> const& candidates = { upstream })
    {
        std::vector<PermitExchange::Candidate> list;
        list.reserve(candidates.size());
        for (auto const id : candidates)
            list.push_back({ id, north, limit, {}, hardLimit });
        std::optional<TimedOutcome> result;
        auto const requestedAt = now;
        daemon(number).choose(
            list, [&](auto const& outcome) { result = TimedOutcome { outcome, now - requestedAt }; }, now);
        while (!result)
            run(step);
        return *result;
    }

    void run(Microseconds duration)
    {
        for (auto const until = now + duration; now < until;) {
            now += step;
            deliver();
            if (now.time_since_epoch() % tickInterval != Microseconds(0))
                continue;
            for (auto const& [id, each] : m_daemons)
                each->tick(now);
        }
    }

    // Returns the daemon that counts the upstream's requests in flight, or 0 if there are none.
    size_t ownerOf(UpstreamId id) const
    {
        for (auto const& [daemon, each] : m_daemons) {
            if (each->inFlightCounter().count(id))
                return daemon.value();
        }
        return 0;
    }

    Instant now { at(0) };
    std::set<size_t> unresponsive;
    // Additional delays of the messages of some daemons.
    std::map<size_t, Microseconds> responseDelays;
    std::optional<size_t> hardLimit;
    double forecast { 0 };
    ColdStartLimit coldBound;
    bool isCold { false };
    bool canAlwaysEnforceColdBound { false };

private:
    struct Message {
        size_t from { 0 };
        VMId to;
        std::string bytes;
        Instant dueAt;
    };

    void send(size_t from, VMId to, std::string bytes)
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        if (uniform(m_random) >= m_loss)
            m_messages.push_back({ from, to, std::move(bytes), now + (responseDelays.contains(from) ? responseDelays.at(from) : Microseconds(0)) });
    }

    void deliver()
    {
        auto const messages = std::exchange(m_messages, {});
        for (auto const& message : messages) {
            if (message.dueAt > now) {
                m_messages.push_back(message);
                continue;
            }
            bool const isDelivered = !unresponsive.contains(message.from) && !unresponsive.contains(message.to.value()) && m_daemons.contains(message.to);
            if (isDelivered)
                BOOST_REQUIRE(m_daemons.at(message.to)->receive(VMId(message.from), message.bytes, now));
        }
    }

    double m_loss;
    std::mt19937_64 m_random { 1 };
    std::vector<FleetPeer> m_peers;
    std::map<VMId, std::unique_ptr<PermitExchange>> m_daemons;
    std::vector<Message> m_messages;
};

}

BOOST_AUTO_TEST_SUITE(PermitExchangeTests)

BOOST_AUTO_TEST_CASE(MessagesRoundTrip)
{
    auto const request = decodePermitMessage(encodePermitMessage(PermitRequest { 7, upstream, 2, 9 }));
    BOOST_REQUIRE(request);
    BOOST_TEST(std::get<PermitRequest>(*request).requestId == 7u);
    BOOST_TEST((std::get<PermitRequest>(*request).upstream == upstream));
    BOOST_TEST(std::get<PermitRequest>(*request).ownInFlight == 2u);
    BOOST_TEST(std::get<PermitRequest>(*request).limit == 9u);
    auto const response = decodePermitMessage(encodePermitMessage(PermitResponse { 7, true, 4 }));
    BOOST_REQUIRE(response);
    BOOST_TEST(std::get<PermitResponse>(*response).isGranted);
    BOOST_TEST(std::get<PermitResponse>(*response).count == 4u);
    auto const placed = decodePermitMessage(encodePermitMessage(PermitRequest { 7, upstream, 2, 9, {}, 123 }));
    BOOST_REQUIRE(placed);
    BOOST_TEST((std::get<PermitRequest>(*placed).context == 123u && !std::get<PermitRequest>(*placed).cold));
    auto const isNew = decodePermitMessage(encodePermitMessage(PermitResponse { 7, true, 4, false, true }));
    BOOST_REQUIRE(isNew);
    BOOST_TEST((std::get<PermitResponse>(*isNew).isContextNew && !std::get<PermitResponse>(*isNew).isExhausted));
    auto const report = decodePermitMessage(encodePermitMessage(InFlightReport { upstream, 3 }));
    BOOST_REQUIRE(report);
    BOOST_TEST(std::get<InFlightReport>(*report).ownInFlight == 3u);
    BOOST_TEST(!decodePermitMessage("nothing of the kind"));
    BOOST_TEST(!decodePermitMessage(encodePermitMessage(PermitRequest {}) + "x"));
}

BOOST_AUTO_TEST_CASE(OwnerMessagesRoundTrip)
{
    auto const available = decodePermitMessage(encodePermitMessage(OwnerAvailable { north }));
    BOOST_REQUIRE(available);
    BOOST_TEST((std::get<OwnerAvailable>(*available).hall == north));
    auto const leaving = decodePermitMessage(encodePermitMessage(OwnerLeaving {}));
    BOOST_REQUIRE(leaving);
    BOOST_TEST(std::holds_alternative<OwnerLeaving>(*leaving));
    auto const replacement = decodePermitMessage(encodePermitMessage(OwnerReplacement { VMId(7), true }));
    BOOST_REQUIRE(replacement);
    BOOST_TEST((std::get<OwnerReplacement>(*replacement).owner == VMId(7)));
    BOOST_TEST(std::get<OwnerReplacement>(*replacement).isConfirmed);
}

BOOST_AUTO_TEST_CASE(AnOwnerReportsWhetherAContextIsNew)
{
    Fleet fleet(6);
    auto const choose = [&](size_t daemon, uint64_t context) {
        bool isNew = false;
        fleet.daemon(daemon).choose(
            { context, { { upstream, north, 9 } } }, [&](auto const& outcome) { isNew = outcome.isContextNew; }, fleet.now);
        fleet.run(Milliseconds(20));
        return isNew;
    };
    BOOST_TEST(choose(2, 5));
    BOOST_TEST(!choose(4, 5));
    BOOST_TEST(choose(4, 6));
}

namespace {

// A daemon and the only other one of its hall, whose messages the test passes on.
class Pair {
public:
    Pair()
    {
        owner = start(1, responses);
        startAsker();
    }

    // The next process of the same daemon.
    void startAsker() { asker = start(0, requests); }

    // Returns the next upstream that the other daemon owns.
    UpstreamId findOwned()
    {
        for (requests.clear(); requests.empty();)
            asker->choose(
                { { UpstreamId(++m_lastUpstream), north, 0 } }, [](auto const&) {}, at(0));
        return UpstreamId(m_lastUpstream);
    }

    // Requests a permit, and passes the request on. Returns the response.
    std::string request(std::vector<PermitExchange::Candidate> const& candidates, PermitExchange::Callback const& callback)
    {
        requests.clear();
        asker->choose(candidates, callback, at(0));
        BOOST_REQUIRE(requests.size() == 1u);
        return respond(requests.back());
    }

    std::string respond(std::string const& request)
    {
        responses.clear();
        BOOST_REQUIRE(owner->receive(VMId(1), request, at(0)));
        BOOST_REQUIRE(!responses.empty());
        return responses.back();
    }

    std::unique_ptr<PermitExchange> asker;
    std::unique_ptr<PermitExchange> owner;
    // What the daemons have sent as permit requests and as responses.
    std::vector<std::string> requests;
    std::vector<std::string> responses;

private:
    std::unique_ptr<PermitExchange> start(size_t index, std::vector<std::string>& sent)
    {
        PermitExchange::Hooks hooks;
        hooks.random = [this] { return m_random(); };
        hooks.send = [&sent](VMId, std::string const& bytes) {
            auto const message = decodePermitMessage(bytes).value();
            if (std::holds_alternative<PermitRequest>(message) || std::holds_alternative<PermitResponse>(message))
                sent.push_back(bytes);
        };
        hooks.forecast = [](UpstreamId) { return UpstreamForecast { 0, holdTime, {}, false, false }; };
        auto exchange = std::make_unique<PermitExchange>(m_peers[index], PermitExchange::Bounds {}, hooks);
        exchange->setPeers(m_peers, {}, at(-10));
        return exchange;
    }

    std::mt19937_64 m_random { 1 };
    std::vector<FleetPeer> m_peers { { VMId(1), north }, { VMId(2), north } };
    uint64_t m_lastUpstream { 0 };
};

}

// Guards against a request beyond an upstream's limit: the owner answers a request of an earlier process of this daemon, for a
// place at another upstream, whose number this process has used as well.
BOOST_AUTO_TEST_CASE(AResponseToAnEarlierProcessIsNotTakenForOneToThisProcess)
{
    Pair pair;
    auto const free = pair.findOwned();
    auto const full = pair.findOwned();
    pair.startAsker();
    auto const earlier = pair.request({ { free, north, 9 } }, [](auto const&) {});
    BOOST_TEST(std::get<PermitResponse>(decodePermitMessage(earlier).value()).isGranted);
    pair.startAsker();
    std::optional<PermitExchange::Outcome> outcome;
    auto const response = pair.request({ { full, north, 0 } }, [&](auto const& found) { outcome = found; });
    BOOST_REQUIRE(pair.asker->receive(VMId(2), earlier, at(0)));
    BOOST_TEST(!outcome.has_value());
    BOOST_REQUIRE(pair.asker->receive(VMId(2), response, at(0)));
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST(!outcome->isGranted);
}

// Guards against a candidate that is passed over: a response that arrives twice counts for the next candidate as well, if that
// one has the same owner.
BOOST_AUTO_TEST_CASE(AResponseThatArrivesTwiceCountsForOneCandidate)
{
    Pair pair;
    auto const full = pair.findOwned();
    auto const free = pair.findOwned();
    std::optional<PermitExchange::Outcome> outcome;
    auto const denied = pair.request({ { full, north, 0 }, { free, north, 9 } }, [&](auto const& found) { outcome = found; });
    BOOST_REQUIRE(pair.asker->receive(VMId(2), denied, at(0)));
    BOOST_REQUIRE(pair.requests.size() == 2u);
    BOOST_REQUIRE(pair.asker->receive(VMId(2), denied, at(0)));
    BOOST_TEST(!outcome.has_value());
    BOOST_REQUIRE(pair.asker->receive(VMId(2), pair.respond(pair.requests.back()), at(0)));
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((outcome->isGranted && outcome->upstream == free));
}

BOOST_AUTO_TEST_CASE(PermitsAreLimitedAcrossAllDaemons)
{
    Fleet fleet(20);
    for (size_t daemon = 1; daemon <= 6; ++daemon)
        BOOST_TEST(fleet.choose(daemon, 6).outcome.isGranted);
    BOOST_TEST(!fleet.choose(7, 6).outcome.isGranted);
    // The limit also applies to the owner itself.
    BOOST_TEST(!fleet.choose(fleet.ownerOf(upstream), 6).outcome.isGranted);
}

// If the owner stayed suspected, some daemons would use another one for seconds, and neither owner
// would have a complete count.
BOOST_AUTO_TEST_CASE(AnOwnerThatRespondsLateIsNoLongerSuspected)
{
    Fleet fleet(6);
    fleet.run(Seconds(4));
    fleet.choose(2, 9);
    auto const owner = fleet.ownerOf(upstream);
    fleet.daemon(2).requestFinished(upstream, fleet.now);
    fleet.run(Milliseconds(50));
    // The response arrives after the timeout.
    fleet.responseDelays[owner] = Milliseconds(40);
    BOOST_TEST(fleet.choose(2, 9).outcome.requests == 2u);
    fleet.run(Milliseconds(100));
    fleet.responseDelays.clear();
    BOOST_TEST(fleet.choose(2, 9).outcome.requests == 1u);
    fleet.run(Milliseconds(50));
    BOOST_TEST(fleet.daemon(owner).inFlightCounter().count(upstream) >= 1u);
}

// A stand-in does not have the counts of the first owner, so it uses the forecast as a lower bound.
BOOST_AUTO_TEST_CASE(AStandInOwnerHonoursTheForecast)
{
    Fleet fleet(6);
    fleet.run(Seconds(4));
    fleet.choose(2, 9);
    fleet.unresponsive.insert(fleet.ownerOf(upstream));
    fleet.forecast = 6;
    // The stand-in must honour the forecast even long after its first message about the upstream.
    fleet.choose(2, 9);
    fleet.run(Seconds(4));
    BOOST_TEST(!fleet.choose(2, 6).outcome.isGranted);
    BOOST_TEST(fleet.choose(2, 8).outcome.isGranted);
}

namespace {

// Places one request of each daemon at the upstream, and returns the upstream's owner.
size_t placeFromAll(Fleet& fleet)
{
    fleet.run(Seconds(4));
    for (size_t number = 1; number <= fleet.size(); ++number)
        BOOST_TEST(fleet.choose(number, 99).outcome.isGranted);
    return fleet.ownerOf(upstream);
}

// Returns a daemon that doesn't own the upstream.
size_t anyOtherThan(size_t owner)
{
    return owner == 2 ? 4 : 2;
}

}

// Otherwise it would grant as many requests again as are in flight already.
BOOST_AUTO_TEST_CASE(ARestartedOwnerLearnsOfRequestsInFlight)
{
    Fleet fleet(12);
    auto const owner = placeFromAll(fleet);
    fleet.start(owner);
    fleet.run(Milliseconds(5));
    BOOST_TEST(fleet.daemon(owner).inFlightCounter().count(upstream) == fleet.size() - 1);
}

// The daemons that haven't noticed that the owner is gone report their requests to its replacement.
BOOST_AUTO_TEST_CASE(AReplacementLearnsOfRequestsInFlight)
{
    Fleet fleet(12);
    auto const owner = placeFromAll(fleet);
    auto const asker = anyOtherThan(owner);
    fleet.unresponsive.insert(owner);
    fleet.choose(asker, 99);
    fleet.run(Milliseconds(50));
    auto const result = fleet.choose(asker, 99).outcome;
    BOOST_TEST(result.requests == 1u);
    BOOST_TEST(result.inFlight == fleet.size());
}

// Two owners at the same time would each grant requests up to the limit.
BOOST_AUTO_TEST_CASE(AllDaemonsUseTheReplacementOfASilentOwner)
{
    Fleet fleet(12);
    auto const owner = placeFromAll(fleet);
    fleet.unresponsive.insert(owner);
    fleet.choose(anyOtherThan(owner), 99);
    fleet.run(Milliseconds(50));
    for (size_t number = 1; number <= fleet.size(); ++number) {
        if (number != owner)
            BOOST_TEST(fleet.choose(number, 99).outcome.requests == 1u);
    }
}

// The owners in the registry change on each daemon at another time.
BOOST_AUTO_TEST_CASE(ALeavingOwnerHandsOverToTheNext)
{
    Fleet fleet(12);
    auto const owner = placeFromAll(fleet);
    fleet.daemon(owner).announceLeaving(fleet.now);
    fleet.run(Milliseconds(5));
    for (size_t number = 1; number <= fleet.size(); ++number) {
        auto const result = fleet.choose(number, 99).outcome;
        BOOST_TEST(result.requests == 1u);
        BOOST_TEST(result.inFlight == fleet.size() + number - 1);
    }
}

// An owner that was only paused for a moment hears that it is replaced.
BOOST_AUTO_TEST_CASE(AllDaemonsReturnToAnOwnerThatRefutesItsReplacement)
{
    Fleet fleet(12);
    auto const owner = placeFromAll(fleet);
    fleet.responseDelays[owner] = Milliseconds(40);
    fleet.choose(anyOtherThan(owner), 99);
    fleet.run(Milliseconds(100));
    fleet.responseDelays.clear();
    for (size_t number = 1; number <= fleet.size(); ++number)
        BOOST_TEST(fleet.choose(number, 99).outcome.requests == 1u);
    fleet.run(Milliseconds(5));
    BOOST_TEST(fleet.daemon(owner).inFlightCounter().count(upstream) == 2 * fleet.size() + 1);
}

// Below the hard limit, the remaining capacity needs a permit from the owner as well.
BOOST_AUTO_TEST_CASE(TheHardLimitIsNeverExceeded)
{
    Fleet fleet(6);
    fleet.run(Seconds(4));
    fleet.hardLimit = 3;
    size_t granted = 0;
    for (size_t number = 0; number < 12; ++number) {
        auto const outcome = fleet.choose(1 + number % 6, 2, { upstream, other }).outcome;
        granted += outcome.isGranted ? 1 : 0;
        BOOST_TEST(outcome.isFull == !outcome.upstream.has_value());
    }
    BOOST_TEST(granted == 6u);
}

// Guards against requests that are rejected as if all upstreams were full when their owners were cut off.
BOOST_AUTO_TEST_CASE(AnUpstreamWhoseOwnerFallsSilentIsNotFull)
{
    Fleet fleet(6);
    fleet.run(Seconds(4));
    fleet.hardLimit = 3;
    fleet.choose(1, 2);
    fleet.choose(1, 2);
    auto const requester = fleet.ownerOf(upstream) == 2 ? 3 : 2;
    std::optional<PermitExchange::Outcome> result;
    fleet.daemon(requester).choose(
        { {}, { { upstream, north, 2, {}, fleet.hardLimit } } }, [&](auto const& outcome) { result = outcome; }, fleet.now);
    // The owner denies the permit, and does not get the request for one up to the hard limit.
    fleet.run(2 * step);
    BOOST_REQUIRE(!result.has_value());
    for (size_t number = 1; number <= fleet.size(); ++number)
        fleet.unresponsive.insert(number);
    fleet.run(Seconds(1));
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->requests > 1u);
    BOOST_TEST(!result->isGranted);
    BOOST_TEST(!result->upstream.has_value());
    BOOST_TEST(!result->isFull);
}

BOOST_AUTO_TEST_CASE(RelaysOwnUpstreamsOnlyIfTheHallHasOnlyRelays)
{
    Fleet fleet(6);
    fleet.choose(2, 9);
    auto const owner = fleet.ownerOf(upstream);
    fleet.daemon(2).requestFinished(upstream, fleet.now);
    fleet.makeRelays({ owner });
    fleet.choose(2, 9);
    auto const next = fleet.ownerOf(upstream);
    BOOST_TEST(next != owner);
    fleet.daemon(2).requestFinished(upstream, fleet.now);
    fleet.makeRelays({ 1, 3, 5 });
    fleet.choose(2, 9);
    BOOST_TEST(fleet.ownerOf(upstream) == owner);
}

BOOST_AUTO_TEST_CASE(FinishedRequestsReleaseTheirPermits)
{
    Fleet fleet(20);
    BOOST_TEST(fleet.choose(1, 1).outcome.isGranted);
    BOOST_TEST(!fleet.choose(2, 1, { upstream }).outcome.isGranted);
    fleet.daemon(2).requestFinished(upstream, fleet.now);
    fleet.daemon(1).requestFinished(upstream, fleet.now);
    fleet.run(Milliseconds(5));
    BOOST_TEST(fleet.choose(3, 1).outcome.isGranted);
}

// Four concurrent requests compete for two permits.
BOOST_AUTO_TEST_CASE(TheLastPermitIsGrantedOnce)
{
    Fleet fleet(20);
    size_t granted = 0;
    for (size_t daemon : { 1, 2, 1, 3 })
        fleet.daemon(daemon).choose(
            { { upstream, north, 2 } }, [&](auto const& outcome) { granted += outcome.isGranted ? 1 : 0; }, fleet.now);
    fleet.run(Milliseconds(5));
    BOOST_TEST(granted == 2u);
}

BOOST_AUTO_TEST_CASE(TheNextCandidateIsTriedIfTheFirstIsAtItsLimit)
{
    Fleet fleet(20);
    BOOST_TEST(fleet.choose(1, 1).outcome.isGranted);
    auto const next = fleet.choose(2, 1, { upstream, other });
    BOOST_TEST((next.outcome.upstream == other));
    BOOST_TEST(next.outcome.isGranted);
    BOOST_TEST(next.outcome.requests == 2u);
}

BOOST_AUTO_TEST_CASE(TheLeastLoadedCandidateIsChosenIfAllAreAtTheirLimits)
{
    Fleet fleet(20);
    for (int request = 0; request < 3; ++request)
        fleet.choose(1, 9);
    fleet.choose(1, 9, { other });
    auto const chosen = fleet.choose(2, 1, { upstream, other });
    BOOST_TEST((chosen.outcome.upstream == other));
    BOOST_TEST(!chosen.outcome.isGranted);
    fleet.run(Milliseconds(5));
    // The request counts as in flight although it has no permit.
    BOOST_TEST(!fleet.choose(3, 2, { other }).outcome.isGranted);
}

// A request waits at most 25 ms for an owner that does not respond, and as long for the next one.
BOOST_AUTO_TEST_CASE(AnUnresponsiveOwnerDelaysARequestByAFewMilliseconds)
{
    Fleet fleet(20);
    fleet.choose(2, 9);
    auto const owner = fleet.ownerOf(upstream);
    fleet.unresponsive.insert(owner);
    auto const requester = owner == 4 ? size_t { 6 } : size_t { 4 };
    auto const first = fleet.choose(requester, 9);
    BOOST_TEST(first.outcome.isGranted);
    BOOST_TEST((first.elapsed <= Milliseconds(30)));
    // Later requests go to the next owner immediately.
    auto const second = fleet.choose(requester, 9);
    BOOST_TEST(second.outcome.isGranted);
    BOOST_TEST((second.elapsed <= Milliseconds(2)));
}

BOOST_AUTO_TEST_CASE(NoUpstreamIsChosenIfNoOwnerResponds)
{
    Fleet fleet(8);
    fleet.unresponsive = { 1, 3, 5, 7 };
    auto const result = fleet.choose(2, 9);
    BOOST_TEST(!result.outcome.upstream.has_value());
    BOOST_TEST((result.elapsed <= Milliseconds(60)));
}

// A new owner has no counts of the requests that are already in flight.
BOOST_AUTO_TEST_CASE(ANewOwnerHonoursTheForecastAtFirst)
{
    Fleet fleet(20);
    fleet.forecast = 8;
    BOOST_TEST(!fleet.choose(2, 8).outcome.isGranted);
    fleet.daemon(2).requestFinished(upstream, fleet.now);
    fleet.run(Milliseconds(2500));
    BOOST_TEST(fleet.choose(2, 8).outcome.isGranted);
}

BOOST_AUTO_TEST_CASE(TheCountOfADeadDaemonExpires)
{
    Fleet fleet(20);
    for (size_t request = 0; request < 4; ++request)
        fleet.choose(2, 9);
    auto const owner = fleet.ownerOf(upstream);
    fleet.unresponsive.insert(2);
    fleet.run(Seconds(3));
    BOOST_TEST(fleet.daemon(owner).inFlightCounter().count(upstream) == 4u);
    fleet.run(Seconds(5));
    BOOST_TEST(fleet.daemon(owner).inFlightCounter().count(upstream) == 0u);
}

// Counts are reported again before they expire.
BOOST_AUTO_TEST_CASE(LongRunningRequestsStayCounted)
{
    Fleet fleet(20);
    fleet.choose(2, 9);
    auto const owner = fleet.ownerOf(upstream);
    fleet.run(Seconds(40));
    BOOST_TEST(fleet.daemon(owner).inFlightCounter().count(upstream) == 1u);
}

// Each message contains the sender's total count, so a lost message is corrected by the next one.
BOOST_AUTO_TEST_CASE(CountsRecoverFromLostMessages)
{
    Fleet fleet(20, 0.1);
    std::vector<std::pair<size_t, UpstreamId>> running;
    for (size_t request = 0; request < 400; ++request) {
        auto const daemon = 1 + request % 20;
        auto const chosen = fleet.choose(daemon, 30).outcome.upstream;
        if (chosen)
            running.emplace_back(daemon, *chosen);
        if (running.size() < 10)
            continue;
        fleet.daemon(running.front().first).requestFinished(running.front().second, fleet.now);
        running.erase(running.begin());
    }
    for (auto const& [daemon, id] : running)
        fleet.daemon(daemon).requestFinished(id, fleet.now);
    fleet.run(Seconds(8));
    BOOST_TEST(fleet.ownerOf(upstream) == 0u);
}

namespace {

// The cold bound of one of the users' deployments.
ColdStartLimit const exampleColdBound { 8.9, 1.5, 5, Seconds(3) };
// The maximum time from the grant of a permit to the arrival of the request at the upstream.
constexpr Microseconds maxTransitTime { 250000 };

// Generates load on a cold upstream, and records when each request arrives there.
class ColdUpstreamTraffic {
public:
    // Each of the daemons requests a permit once per pause; requests with a permit arrive after a
    // random transit time.
    void sendRequests(Fleet& fleet, std::vector<size_t> const& daemons, Microseconds duration, std::vector<UpstreamId> const& upstreams = { upstream }, Microseconds pause = Milliseconds(25))
    {
        std::vector<PermitExchange::Candidate> candidates;
        candidates.reserve(upstreams.size());
        for (auto const id : upstreams)
            candidates.push_back({ id, north, 1000 });
        for (auto const until = fleet.now + duration; fleet.now < until;) {
            for (auto const daemon : daemons) {
                fleet.daemon(daemon).choose(
                    candidates, [&](auto const& outcome) {
                        if (!outcome.upstream)
                            return;
                        fleet.daemon(daemon).requestFinished(*outcome.upstream, fleet.now);
                        if (*outcome.upstream != upstream)
                            return;
                        m_arrivals.push_back(fleet.now + Microseconds(static_cast<int64_t>(m_random() % static_cast<uint64_t>(maxTransitTime.count()))));
                    },
                    fleet.now);
            }
            fleet.run(pause);
        }
    }

    size_t maxPerSecond()
    {
        std::sort(m_arrivals.begin(), m_arrivals.end());
        size_t maximum = 0;
        for (size_t first = 0, last = 0; last < m_arrivals.size(); ++last) {
            while (m_arrivals[last] - m_arrivals[first] >= Seconds(1))
                ++first;
            maximum = std::max(maximum, last - first + 1);
        }
        return maximum;
    }

    size_t arrivals() const { return m_arrivals.size(); }

private:
    std::mt19937_64 m_random { 3 };
    std::vector<Instant> m_arrivals;
};

std::vector<size_t> daemonRange(size_t first, size_t last)
{
    std::vector<size_t> result;
    for (size_t number = first; number <= last; ++number)
        result.push_back(number);
    return result;
}

Fleet fleetWithColdUpstream(size_t size, double loss = 0)
{
    Fleet fleet(size, loss);
    fleet.coldBound = exampleColdBound;
    fleet.isCold = true;
    return fleet;
}

}

BOOST_AUTO_TEST_CASE(ColdQuotasAddUpToAtMostTheColdBound)
{
    BOOST_TEST(exampleColdBound.fleetLimit() == 18u);
    BOOST_TEST(exampleColdBound.ownerLimit() + 3 * exampleColdBound.nextOwnerLimit() <= exampleColdBound.fleetLimit());
    BOOST_TEST(exampleColdBound.nextOwnerLimit() > 0u);
    for (double perSecond : { 0.2, 1.0, 3.7, 50.0 }) {
        for (double slack : { 0.0, 1.0, 40.0 }) {
            ColdStartLimit const bound { perSecond, 1, slack, Seconds(1) };
            BOOST_TEST(bound.ownerLimit() + 3 * bound.nextOwnerLimit() <= bound.fleetLimit());
            BOOST_TEST(bound.unconfirmedLimit() <= bound.fleetLimit());
        }
    }
}

// With 70 competing daemons, the upstream receives at most its bound in any second, and at
// least 90 % of the rate that it handles.
BOOST_AUTO_TEST_CASE(AColdUpstreamStaysWithinItsBoundUnderLoad)
{
    auto fleet = fleetWithColdUpstream(70);
    fleet.run(Seconds(4));
    ColdUpstreamTraffic cold;
    cold.sendRequests(fleet, daemonRange(1, 70), Seconds(8));
    BOOST_TEST_MESSAGE("maximum per second " << cold.maxPerSecond() << " of " << exampleColdBound.fleetLimit() << ", " << cold.arrivals() << " in eight seconds");
    BOOST_TEST(cold.maxPerSecond() <= exampleColdBound.fleetLimit());
    BOOST_TEST(static_cast<double>(cold.arrivals()) >= 8 * 0.9 * exampleColdBound.perSecond);
}

// Permits that were granted before the upstream became cold count against the bound.
BOOST_AUTO_TEST_CASE(AnUpstreamThatBecomesColdUnderLoadStaysWithinItsBound)
{
    auto fleet = fleetWithColdUpstream(70);
    fleet.isCold = false;
    fleet.canAlwaysEnforceColdBound = true;
    fleet.run(Seconds(4));
    ColdUpstreamTraffic cold;
    // Less load than the three upstreams can handle together, all of it for the first one.
    cold.sendRequests(fleet, daemonRange(1, 8), Seconds(3), { upstream, other, UpstreamId(79) }, Milliseconds(250));
    fleet.isCold = true;
    cold.sendRequests(fleet, daemonRange(1, 70), Seconds(3));
    BOOST_TEST(cold.maxPerSecond() <= exampleColdBound.fleetLimit());
}

BOOST_AUTO_TEST_CASE(AColdUpstreamStaysWithinItsBoundWhenItsOwnerFails)
{
    for (size_t lossPercent : { 0, 5, 20 }) {
        auto fleet = fleetWithColdUpstream(40, static_cast<double>(lossPercent) / 100);
        fleet.run(Seconds(4));
        fleet.choose(2, 1000);
        auto const owner = fleet.ownerOf(upstream);
        fleet.daemon(2).requestFinished(upstream, fleet.now);
        auto others = daemonRange(1, 40);
        std::erase(others, owner);
        ColdUpstreamTraffic cold;
        cold.sendRequests(fleet, others, Seconds(2));
        fleet.unresponsive.insert(owner);
        cold.sendRequests(fleet, others, Seconds(2));
        fleet.removeDaemon(owner);
        cold.sendRequests(fleet, others, Seconds(6));
        BOOST_TEST_MESSAGE(lossPercent << " % lost: maximum per second " << cold.maxPerSecond() << ", " << cold.arrivals() << " in ten seconds");
        BOOST_TEST(cold.maxPerSecond() <= exampleColdBound.fleetLimit());
        BOOST_TEST(cold.arrivals() > 20u);
    }
}

// Half of the daemons do not know the owner, and use another one.
BOOST_AUTO_TEST_CASE(AColdUpstreamStaysWithinItsBoundWithTwoOwners)
{
    auto fleet = fleetWithColdUpstream(40);
    fleet.run(Seconds(4));
    fleet.choose(2, 1000);
    auto const owner = fleet.ownerOf(upstream);
    fleet.daemon(2).requestFinished(upstream, fleet.now);
    for (size_t number = 1; number <= 40; number += 2) {
        if (number != owner)
            fleet.removePeer(number, owner);
    }
    auto others = daemonRange(1, 40);
    std::erase(others, owner);
    ColdUpstreamTraffic cold;
    // Just below ownershipSettleTime, for which the daemons' views may differ.
    cold.sendRequests(fleet, others, Milliseconds(2900));
    BOOST_TEST(cold.maxPerSecond() <= exampleColdBound.fleetLimit());
}

// A cold upstream whose quota is used up must not be chosen without a permit either.
BOOST_AUTO_TEST_CASE(AnExhaustedUpstreamIsNeverChosenAsLeastLoaded)
{
    auto fleet = fleetWithColdUpstream(20);
    fleet.run(Seconds(4));
    size_t granted = 0;
    while (granted < 100 && fleet.choose(2, 1000).outcome.isGranted)
        ++granted;
    BOOST_TEST(granted == exampleColdBound.ownerLimit());
    BOOST_TEST(!fleet.choose(2, 1000).outcome.upstream.has_value());
}

// The owner does not know that the upstream is cold, or does not know the upstream at all.
BOOST_AUTO_TEST_CASE(AnOwnerAppliesTheColdNoticeOfARequest)
{
    Fleet fleet(20);
    fleet.run(Seconds(4));
    ColdStartNotice const notice { exampleColdBound, Seconds(2) };
    size_t granted = 0;
    for (size_t request = 0; request < 40; ++request) {
        fleet.daemon(1 + request % 20).choose(
            { { upstream, north, 1000, notice } }, [&](auto const& outcome) { granted += outcome.upstream ? 1 : 0; }, fleet.now);
        fleet.run(Milliseconds(5));
    }
    BOOST_TEST(granted == exampleColdBound.ownerLimit());
    fleet.run(Seconds(3));
    BOOST_TEST(fleet.choose(3, 1000).outcome.isGranted);
}

BOOST_AUTO_TEST_CASE(APermitRequestContainsTheColdNotice)
{
    PermitRequest const request { 7, upstream, 2, 9, ColdStartNotice { exampleColdBound, Milliseconds(1500) } };
    auto const read = decodePermitMessage(encodePermitMessage(request));
    BOOST_REQUIRE(read);
    auto const& cold = std::get<PermitRequest>(*read).cold;
    BOOST_REQUIRE(cold.has_value());
    BOOST_TEST(cold->bound.fleetLimit() == exampleColdBound.fleetLimit());
    BOOST_TEST(cold->bound.ownerLimit() == exampleColdBound.ownerLimit());
    BOOST_TEST((cold->left == Milliseconds(1500)));
}

BOOST_AUTO_TEST_CASE(AResponseContainsWhetherAnUpstreamIsExhausted)
{
    auto const response = decodePermitMessage(encodePermitMessage(PermitResponse { 7, false, 4, true }));
    BOOST_REQUIRE(response);
    BOOST_TEST(std::get<PermitResponse>(*response).isExhausted);
    BOOST_TEST(!std::get<PermitResponse>(*decodePermitMessage(encodePermitMessage(PermitResponse { 7, false, 4 }))).isExhausted);
}

// The target size is 330 daemons with 14.5 requests per second each. The byte count includes the
// overhead of the seal, UDP and IP.
BOOST_AUTO_TEST_CASE(PermitMessagesStayWithinTheSendBudget)
{
    constexpr double headerBytes = 53;
    constexpr double requestsPerSecond = 14.5;
    constexpr double allowedBytesPerSecond = 3000;
    auto const request = encodePermitMessage(PermitRequest { 1u << 20, UpstreamId::fromName("i-1"), 3, 30 });
    auto const response = encodePermitMessage(PermitResponse { 1u << 20, true, 20 });
    auto const report = encodePermitMessage(InFlightReport { UpstreamId::fromName("i-1"), 3 });
    auto const bytes = 3 * headerBytes + static_cast<double>(request.size() + response.size() + report.size());
    BOOST_TEST_MESSAGE("bytes per request: " << bytes << ", bytes per second of a daemon: " << bytes * requestsPerSecond);
    BOOST_TEST(bytes * requestsPerSecond < allowedBytesPerSecond);
}

BOOST_AUTO_TEST_SUITE_END()
