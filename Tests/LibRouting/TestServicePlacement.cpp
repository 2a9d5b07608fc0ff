#include <LibRouting/Routing.h>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <rapidcheck.h>

using namespace Stagepost;

namespace {

Instant at(double seconds)
{
    return Instant(Microseconds(static_cast<int64_t>(seconds * 1e6)));
}

RandomHook seeded(uint64_t seed)
{
    return [engine = std::make_shared<std::mt19937_64>(seed)] { return (*engine)(); };
}

// For tests without silent upstreams.
SilenceDetector const idleSilenceDetector;

ServicePlacement placementOf(size_t upstreams, size_t ownHall = 0, uint64_t seed = 1)
{
    ServicePlacement placement({}, idleSilenceDetector, seeded(seed));
    for (size_t number = 1; number <= upstreams; ++number)
        placement.putUpstream({ UpstreamId(number), number <= ownHall, 4, false, HallId(1) });
    return placement;
}

ServicePlacement::Request requestFor(uint64_t context, bool isRepeatable = true)
{
    ServicePlacement::Request request;
    request.context = context;
    request.isRepeatable = isRepeatable;
    return request;
}

}

BOOST_AUTO_TEST_SUITE(ServicePlacementTests)

BOOST_AUTO_TEST_CASE(PromptPartKeysCoverTheWholePrefix)
{
    PromptChain first;
    first.add("a", 100);
    first.add("b", 50);
    first.add("own", 7);
    PromptChain second;
    second.add("x", 100);
    second.add("b", 50);
    second.add("own", 7);
    BOOST_TEST(first.tokens() == 157u);
    BOOST_TEST(*first.sharedKey() == first.parts()[1].key);
    BOOST_TEST(*first.sharedKey() != *second.sharedKey());
    BOOST_TEST(!PromptChain().sharedKey().has_value());
}

// With short calls, the requests in the other daemons' old counts have ended by now. Requests must
// not be refused because of a queue that these counts seem to show.
BOOST_AUTO_TEST_CASE(OldCountsOfShortCallsDoNotCauseRefusals)
{
    auto placement = placementOf(3);
    for (int call = 0; call < 12; ++call) {
        placement.started(UpstreamId(1));
        placement.finished(UpstreamId(1), SendOutcome::Succeeded, Milliseconds(40), Milliseconds(40), at(6 + call * 0.5));
    }
    placement.updateOthersInFlight({ { UpstreamId(1), 5 }, { UpstreamId(2), 4 }, { UpstreamId(3), 4 } }, Milliseconds(500), at(12));
    auto const occupancy = placement.occupancy();
    BOOST_TEST(occupancy.perSlot > 1);
    BOOST_TEST(AdmissionGate::refusedShare(occupancy, 2) == 0);
}

BOOST_AUTO_TEST_CASE(DaemonsChooseTheSameUpstreamForAContext)
{
    auto one = placementOf(9, 0, 1);
    auto other = placementOf(9, 0, 2);
    for (uint64_t context = 1; context < 200; ++context)
        BOOST_TEST((one.choose(requestFor(context), at(1))->upstream == other.choose(requestFor(context), at(1))->upstream));
}

BOOST_AUTO_TEST_CASE(AChoiceNamesItsPlacementRule)
{
    auto placement = placementOf(9);
    BOOST_TEST((placement.choose({}, at(1))->reason.rule == PlacementRule::Wait));
    BOOST_TEST((placement.choose(requestFor(5), at(1))->reason.rule == PlacementRule::Count));
    // Counts far older than the hold time.
    placement.updateOthersInFlight({ { UpstreamId(1), 9 } }, Milliseconds(5000), at(2));
    placement.updateOthersInFlight({ { UpstreamId(1), 9 } }, Milliseconds(5000), at(4));
    auto const byShare = placement.choose(requestFor(5), at(4))->reason;
    BOOST_TEST((byShare.rule == PlacementRule::Share));
    BOOST_TEST((byShare.countsAge > Milliseconds(5000)));
}

// Guards against losing a trial that waits for an unresponsive owner, which would leave its upstream
// without requests for a minute.
BOOST_AUTO_TEST_CASE(NoOwnerIsAskedAboutATrial)
{
    auto placement = placementOf(3);
    auto const first = placement.choose(requestFor(5), at(1))->upstream;
    BOOST_TEST(placement.candidatesForOwners(requestFor(5), at(1)).size() == 3u);
    for (int request = 0; request < 2; ++request) {
        placement.started(first);
        placement.finished(first, SendOutcome::NoUsableAnswer, Milliseconds(1), Milliseconds(1), at(1));
    }
    // During the breaker's pause, the owners of the other upstreams are asked.
    BOOST_TEST(placement.candidatesForOwners(requestFor(5), at(1.1)).size() == 2u);
    BOOST_TEST(placement.candidatesForOwners(requestFor(5), at(3)).empty());
    BOOST_TEST(placement.candidatesForOwners(requestFor(5), at(3)).empty());
    BOOST_TEST((placement.choose(requestFor(5), at(3))->upstream == first));
    // The trial is in progress.
    BOOST_TEST(placement.candidatesForOwners(requestFor(5), at(3)).size() == 2u);
}

BOOST_AUTO_TEST_CASE(AnOverloadedContextIsPlacedElsewhereWithItsHolderAsSource)
{
    auto placement = placementOf(9);
    auto const first = placement.choose(requestFor(5), at(1))->upstream;
    for (int request = 0; request < 5; ++request)
        placement.started(first);
    auto const spilled = placement.choose(requestFor(5), at(1));
    BOOST_TEST((spilled->upstream != first));
    BOOST_TEST((*spilled->contextSource == first));
}

BOOST_AUTO_TEST_CASE(ANewUpstreamFetchesItsContextsFromTheFormerHolders)
{
    auto before = placementOf(9);
    auto after = placementOf(10);
    size_t moved = 0;
    for (uint64_t context = 1; context < 500; ++context) {
        auto const old = before.choose(requestFor(context), at(1))->upstream;
        auto const now = after.choose(requestFor(context), at(1));
        if (now->upstream == old)
            continue;
        ++moved;
        BOOST_TEST((now->upstream == UpstreamId(10)));
        BOOST_TEST((*now->contextSource == old));
    }
    BOOST_TEST(moved > 20u);
    BOOST_TEST(moved < 90u);
}

BOOST_AUTO_TEST_CASE(ALeavingUpstreamTakesNoRequestsButProvidesItsContexts)
{
    auto placement = placementOf(4);
    auto const holder = placement.choose(requestFor(5), at(1))->upstream;
    placement.putUpstream({ holder, false, 4, true, HallId(1) });
    auto const choice = placement.choose(requestFor(5), at(1));
    BOOST_TEST((choice->upstream != holder));
    BOOST_TEST((*choice->contextSource == holder));
}

// Guards against a request that reaches an upstream of another version by any way of choosing: by wait, by
// context, by an owner's grant, as a trial after failures, or after a back-off.
BOOST_AUTO_TEST_CASE(OnlyUpstreamsOfTheRequestsRoleAreChosen)
{
    auto placement = placementOf(6);
    for (uint64_t number : { 3, 4 })
        placement.putUpstream({ UpstreamId(number), false, 4, false, HallId(1), UpstreamRole::Candidate });
    for (uint64_t number : { 5, 6 })
        placement.putUpstream({ UpstreamId(number), false, 4, false, HallId(1), UpstreamRole::Excluded });
    auto const isOfRole = [](UpstreamId id, UpstreamRole role) {
        return role == UpstreamRole::Serving ? id <= UpstreamId(2) : id == UpstreamId(3) || id == UpstreamId(4);
    };
    auto const check = [&](double seconds) {
        for (auto const role : { UpstreamRole::Serving, UpstreamRole::Candidate }) {
            for (uint64_t context = 0; context < 50; ++context) {
                auto request = context ? requestFor(context) : ServicePlacement::Request {};
                request.isRepeatable = true;
                request.role = role;
                auto const choice = placement.choose(request, at(seconds));
                BOOST_REQUIRE(choice);
                BOOST_TEST(isOfRole(choice->upstream, role));
                for (auto const& candidate : placement.candidatesForOwners(request, at(seconds)))
                    BOOST_TEST(isOfRole(candidate.upstream, role));
                for (uint64_t number = 1; number <= 6; ++number) {
                    auto const granted = placement.choiceFromOwners(request, { UpstreamId(number), true, 1 }, at(seconds));
                    BOOST_TEST(!(granted && !isOfRole(UpstreamId(number), role)));
                }
            }
            BOOST_TEST(placement.sizeForRetry({}, at(seconds), role) <= 2u);
        }
    };
    check(1);
    // All upstreams of the other roles are due for a trial.
    for (uint64_t number : { 2, 3, 4, 5, 6 }) {
        for (int count = 0; count < 20; ++count) {
            placement.started(UpstreamId(number));
            placement.finished(UpstreamId(number), SendOutcome::NoUsableAnswer, Milliseconds(1), Milliseconds(1), at(1));
        }
    }
    for (double seconds = 2; seconds < 60; seconds += 1)
        check(seconds);
    // One upstream of each role backs off.
    for (uint64_t number : { 1, 3, 5 })
        placement.backoffRequested(UpstreamId(number), Seconds(300), at(61));
    for (double seconds = 61; seconds < 90; seconds += 1)
        check(seconds);
}

// The same for trials while all upstreams back off, where those of other roles are due earlier.
BOOST_AUTO_TEST_CASE(BackOffTrialIsOfTheRequestsRole)
{
    for (auto const role : { UpstreamRole::Candidate, UpstreamRole::Excluded }) {
        auto placement = placementOf(3);
        for (uint64_t number : { 2, 3 }) {
            placement.putUpstream({ UpstreamId(number), false, 4, false, HallId(1), role });
            placement.backoffRequested(UpstreamId(number), Seconds(300), at(1));
        }
        placement.backoffRequested(UpstreamId(1), Seconds(300), at(5));
        size_t trials = 0;
        for (double seconds = 5; seconds < 300; seconds += 1) {
            auto const choice = placement.choose(requestFor(7), at(seconds));
            trials += choice ? 1 : 0;
            BOOST_TEST((!choice || choice->upstream == UpstreamId(1)));
        }
        BOOST_TEST(trials > 0u);
    }
}

// Guards against a send to a version that was found bad while the request waited for its permit.
BOOST_AUTO_TEST_CASE(GrantOfAnUpstreamThatHasBeenExcludedIsNotUsed)
{
    auto placement = placementOf(3);
    auto request = requestFor(5);
    request.role = UpstreamRole::Candidate;
    placement.putUpstream({ UpstreamId(3), false, 4, false, HallId(1), UpstreamRole::Candidate });
    PermitExchange::Outcome const granted { UpstreamId(3), true, 1 };
    BOOST_TEST(placement.choiceFromOwners(request, granted, at(1)).has_value());
    placement.putUpstream({ UpstreamId(3), false, 4, false, HallId(1), UpstreamRole::Excluded });
    BOOST_TEST(!placement.choiceFromOwners(request, granted, at(1)).has_value());
    BOOST_TEST(!placement.choiceFromOwners(requestFor(5), granted, at(1)).has_value());
    BOOST_TEST(!placement.choose(request, at(1)).has_value());
    BOOST_TEST(placement.candidatesForOwners(request, at(1)).empty());
}

// Guards against contexts that are read again because the service moves to another version, and against
// sources that have never held a context.
BOOST_AUTO_TEST_CASE(ContextsAreCopiedFromTheVersionThatServedThem)
{
    for (uint64_t context = 1; context <= 50; ++context) {
        // The new upstreams are known before the roles, and take no requests until then.
        auto placement = placementOf(6);
        placement.updateOthersInFlight({ { UpstreamId(1), 1 }, { UpstreamId(2), 1 }, { UpstreamId(3), 1 } }, {}, at(1));
        auto const put = [&](uint64_t first, UpstreamRole role) {
            for (uint64_t number = first; number < first + 3; ++number)
                placement.putUpstream({ UpstreamId(number), false, 4, false, HallId(1), role });
        };
        put(4, UpstreamRole::Excluded);
        auto request = requestFor(context);
        auto const holder = placement.choose(request, at(1));
        BOOST_TEST((*holder->contextSource <= UpstreamId(3)));
        put(4, UpstreamRole::Candidate);
        request.role = UpstreamRole::Candidate;
        auto const tried = placement.choose(request, at(1));
        BOOST_TEST((tried->upstream >= UpstreamId(4)));
        BOOST_TEST((tried->contextSource == holder->upstream));
        put(4, UpstreamRole::Serving);
        put(1, UpstreamRole::Excluded);
        auto const moved = placement.choose(requestFor(context), at(1));
        BOOST_TEST((moved->upstream >= UpstreamId(4)));
        BOOST_TEST((moved->contextSource == holder->upstream));
        BOOST_TEST((placement.firstUsableSource({ holder->upstream }, moved->upstream, at(1)) == holder->upstream));
    }
}

// Guards against a trial that overloads the few upstreams that take it, whose own mean would allow any load.
BOOST_AUTO_TEST_CASE(CandidatesAreOnlyChosenWithinTheLoadLimitOfTheService)
{
    auto placement = placementOf(20);
    for (uint64_t number = 11; number <= 20; ++number)
        placement.putUpstream({ UpstreamId(number), false, 64, false, HallId(1), number <= 13 ? UpstreamRole::Candidate : UpstreamRole::Excluded });
    std::map<UpstreamId, size_t> counts;
    for (uint64_t number = 1; number <= 10; ++number)
        counts[UpstreamId(number)] = 4;
    auto const request = [](std::optional<uint64_t> context) {
        ServicePlacement::Request result;
        result.context = context;
        result.role = UpstreamRole::Candidate;
        return result;
    };
    for (size_t load : { 4, 30 }) {
        for (uint64_t number = 11; number <= 13; ++number)
            counts[UpstreamId(number)] = load;
        placement.updateOthersInFlight(counts, Milliseconds(10), at(1));
        for (auto const context : { std::optional<uint64_t>(), std::optional<uint64_t>(7) })
            BOOST_TEST(placement.choose(request(context), at(1)).has_value() == (load == 4));
        for (auto const& candidate : placement.candidatesForOwners(request(7), at(1))) {
            // Twice the mean of all upstreams plus three.
            BOOST_TEST(candidate.limit <= (load == 4 ? 8U : 16U));
            // An owner grants up to a hard limit where requests would otherwise be refused.
            BOOST_TEST(!candidate.hardLimit.has_value());
        }
        BOOST_TEST(placement.choiceFromOwners(request(7), { UpstreamId(12), true, 1 }, at(1)).has_value());
        BOOST_TEST(!placement.choiceFromOwners(request(7), { UpstreamId(12), false, 1 }, at(1)).has_value());
    }
    BOOST_TEST(placement.choose(requestFor(7), at(1)).has_value());
}

// Guards against an admission that takes idle upstreams of another version for capacity.
BOOST_AUTO_TEST_CASE(OccupancyIsThatOfTheServingUpstreams)
{
    auto placement = placementOf(4);
    placement.updateOthersInFlight({ { UpstreamId(1), 4 }, { UpstreamId(2), 4 }, { UpstreamId(3), 1 } }, {}, at(1));
    placement.putUpstream({ UpstreamId(3), false, 4, false, HallId(1), UpstreamRole::Candidate });
    placement.putUpstream({ UpstreamId(4), false, 4, false, HallId(1), UpstreamRole::Excluded });
    BOOST_TEST(placement.occupancy().perSlot == 1, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(OtherDaemonsRequestsCountAndDecay)
{
    auto placement = placementOf(3);
    auto const first = placement.choose(requestFor(5), at(1))->upstream;
    placement.updateOthersInFlight({ { first, 30 } }, {}, at(1));
    BOOST_TEST((placement.choose(requestFor(5), at(1))->upstream != first));
    BOOST_TEST((placement.choose(requestFor(5), at(60))->upstream == first));
    placement.reported(first, { 30, 0, 64 }, at(60));
    BOOST_TEST((placement.choose(requestFor(5), at(60))->upstream != first));
}

BOOST_AUTO_TEST_CASE(TheOwnHallIsPreferredAmongEqualUpstreamsUnlessItIsSlow)
{
    auto placement = placementOf(3, 1);
    for (int request = 0; request < 10; ++request) {
        BOOST_TEST((placement.choose({}, at(1))->upstream == UpstreamId(1)));
        placement.started(UpstreamId(1));
        placement.finished(UpstreamId(1), SendOutcome::Succeeded, Milliseconds(15), Milliseconds(15), at(1));
    }
    for (uint64_t other : { 2, 3 }) {
        placement.started(UpstreamId(other));
        placement.finished(UpstreamId(other), SendOutcome::Succeeded, Milliseconds(15), Milliseconds(15), at(1));
    }
    for (int request = 0; request < 10; ++request) {
        placement.started(UpstreamId(1));
        placement.finished(UpstreamId(1), SendOutcome::Succeeded, Milliseconds(75), Milliseconds(75), at(1));
    }
    BOOST_TEST((placement.choose({}, at(1))->upstream != UpstreamId(1)));
}

BOOST_AUTO_TEST_CASE(ARepeatableRequestIsTheTrialOfAnUnansweringUpstream)
{
    auto placement = placementOf(2);
    for (int failure = 0; failure < 2; ++failure) {
        placement.started(UpstreamId(1));
        placement.finished(UpstreamId(1), SendOutcome::NoUsableAnswer, {}, {}, at(10));
    }
    ServicePlacement::Request once;
    ServicePlacement::Request repeatable;
    repeatable.isRepeatable = true;
    BOOST_TEST((placement.choose(repeatable, at(10.1))->upstream == UpstreamId(2)));
    BOOST_TEST((placement.choose(once, at(11))->upstream == UpstreamId(2)));
    BOOST_TEST((placement.choose(repeatable, at(11))->upstream == UpstreamId(1)));
    // The single trial is in progress.
    BOOST_TEST((placement.choose(repeatable, at(11))->upstream == UpstreamId(2)));
    placement.started(UpstreamId(1));
    placement.finished(UpstreamId(1), SendOutcome::Succeeded, Milliseconds(10), Milliseconds(10), at(11));
    BOOST_TEST((placement.choose(once, at(11)).has_value()));
}

BOOST_AUTO_TEST_CASE(AFailingMinorityIsAvoidedButNotAFailingMajority)
{
    auto placement = placementOf(4);
    auto const fail = [&](uint64_t upstream) {
        for (int request = 0; request < 6; ++request) {
            placement.started(UpstreamId(upstream));
            placement.finished(UpstreamId(upstream), SendOutcome::Failed, Milliseconds(10), Milliseconds(10), at(1));
        }
    };
    auto const chosen = [&] {
        std::set<UpstreamId> result;
        for (uint64_t context = 1; context < 100; ++context)
            result.insert(placement.choose(requestFor(context), at(1))->upstream);
        return result;
    };
    fail(1);
    BOOST_TEST(!chosen().contains(UpstreamId(1)));
    fail(2);
    fail(3);
    BOOST_TEST(chosen().size() == 4u);
}

// Another upstream would have to read the whole prompt again, so giving up the first one too early
// only causes a second reading.
BOOST_AUTO_TEST_CASE(WaitBoundsGrowWithThePromptLength)
{
    auto placement = placementOf(2);
    BOOST_TEST((placement.waitBounds(20000).forPrompt == Microseconds(0)));
    for (int answer = 0; answer < 20; ++answer)
        placement.recordFirstByteWait(10000, Milliseconds(300));
    BOOST_TEST((placement.waitBounds(10000).forPrompt >= Milliseconds(300)));
    BOOST_TEST((placement.waitBounds(20000).forPrompt >= Milliseconds(600)));
    BOOST_TEST((placement.waitBounds(20000).forPrompt < Milliseconds(900)));
    // The wait for a short prompt isn't dominated by reading it.
    auto other = placementOf(2);
    other.recordFirstByteWait(300, Seconds(1));
    BOOST_TEST((other.waitBounds(10000).forPrompt == Microseconds(0)));
}

BOOST_AUTO_TEST_CASE(NoUpstreamIsChosenIfAllAreExcluded)
{
    auto placement = placementOf(1);
    ServicePlacement::Request request;
    request.excluded = { UpstreamId(1) };
    BOOST_TEST(!placement.choose(request, at(1)).has_value());
}

// However requests are distributed over time and daemons, the fleet's retries in any window stay
// within the budget.
BOOST_AUTO_TEST_CASE(TheFleetsRetriesStayWithinTheBudget)
{
    BOOST_TEST(rc::check("any window of ten seconds", [](uint64_t seed, uint8_t daemons, uint8_t skew) {
        std::mt19937_64 random(seed);
        auto const count = size_t { 1 } + daemons % 8;
        RetryBudget::Bounds const bounds { 0.2, 50, Seconds(10) };
        std::vector<RetryBudget> budgets(count, RetryBudget(bounds, [count](Instant) { return 1.0 / static_cast<double>(count); }));
        std::vector<double> requests;
        std::vector<double> retries;
        for (int step = 0; step < 600; ++step) {
            auto const now = at(100 + step * 0.1);
            requests.push_back(0);
            retries.push_back(0);
            auto const rate = 1 + (step / 100) % 3 * skew % 20;
            for (int request = 0; request < rate; ++request) {
                auto& budget = budgets[random() % count * (random() % 3 ? 1 : 0)];
                budget.recordRequest(now);
                ++requests.back();
                // Every request fails and is retried as often as the budget allows.
                while (budget.mayRetry(now)) {
                    budget.recordRetry(now);
                    ++retries.back();
                }
            }
        }
        constexpr size_t window = 100;
        auto const sumOf = [](std::vector<double> const& list, size_t end, size_t length) {
            double sum = 0;
            for (size_t index = end > length ? end - length : 0; index < end; ++index)
                sum += list[index];
            return sum;
        };
        for (size_t end = 1; end <= retries.size(); ++end) {
            auto const asked = std::max({ sumOf(requests, end, window), sumOf(requests, end > window / 2 ? end - window / 2 : 0, window), sumOf(requests, end > window ? end - window : 0, window) });
            RC_ASSERT(sumOf(retries, end, window) <= bounds.ratio * asked + bounds.slack);
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
