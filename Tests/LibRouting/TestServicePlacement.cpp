#include <LibRouting/Routing.h>
#include <boost/test/unit_test.hpp>
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
        std::vector<RetryBudget> budgets(count, RetryBudget(bounds));
        for (auto& budget : budgets)
            budget.setShare(1.0 / static_cast<double>(count));
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
