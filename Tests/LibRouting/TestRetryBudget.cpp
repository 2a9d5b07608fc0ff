#include <LibRouting/RetryBudget.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck.h>

using namespace Stagepost;

namespace {

constexpr RetryBudget::Bounds bounds { 0.2, 0, Seconds(10) };
constexpr Milliseconds step { 100 };
constexpr size_t stepsPerWindow = 100;

RetryBudget makeBudget(RetryBudget::Bounds const& ofBudget)
{
    return RetryBudget(ofBudget, [](Instant) { return 1.0; });
}

// Daemons whose requests all fail from some moment on, while processes are replaced and the requests
// move between daemons.
class FailingFleet {
public:
    FailingFleet(uint64_t seed, size_t daemons, size_t requestsPerStep)
        : m_random(seed)
        , m_budgets(daemons, makeBudget(bounds))
        , m_requestsPerStep(requestsPerStep)
    {
    }

    void run(size_t steps)
    {
        auto const failsFrom = m_random() % steps;
        for (size_t index = 0; index < steps; ++index, m_now += step) {
            if (m_random() % 20 == 0)
                change();
            m_requests.push_back(m_requestsPerStep);
            m_retries.push_back(0);
            for (size_t request = 0; request < m_requestsPerStep; ++request)
                handleRequest(index >= failsFrom);
        }
    }

    // The retries in the worst window beyond what is allowed. Negative if no window exceeds it.
    double worstExcess() const
    {
        double worst = -1;
        for (size_t end = 1; end <= m_retries.size(); ++end) {
            auto const requests = std::max({ sumOf(m_requests, end, 0), sumOf(m_requests, end, stepsPerWindow / 2), sumOf(m_requests, end, stepsPerWindow) });
            worst = std::max(worst, sumOf(m_retries, end, 0) - bounds.ratio * requests);
        }
        return worst;
    }

private:
    void handleRequest(bool fails)
    {
        auto& budget = m_budgets[m_random() % 5 ? m_preferred : m_random() % m_budgets.size()];
        budget.recordRequest(m_now);
        while (fails && budget.mayRetry(m_now)) {
            budget.recordRetry(m_now);
            ++m_retries.back();
        }
    }

    void change()
    {
        if (m_random() % 2)
            m_preferred = m_random() % m_budgets.size();
        else if (m_random() % 2)
            m_budgets[m_random() % m_budgets.size()] = makeBudget(bounds);
        else
            m_budgets.assign(m_budgets.size(), makeBudget(bounds));
    }

    // The sum over the window that ends the given steps before an index.
    static double sumOf(std::vector<size_t> const& list, size_t end, size_t before)
    {
        auto const last = end > before ? end - before : 0;
        auto const first = last > stepsPerWindow ? last - stepsPerWindow : 0;
        double sum = 0;
        for (size_t index = first; index < last; ++index)
            sum += static_cast<double>(list[index]);
        return sum;
    }

    std::mt19937_64 m_random;
    std::vector<RetryBudget> m_budgets;
    size_t m_requestsPerStep;
    size_t m_preferred { 0 };
    Instant m_now { Seconds(100) };
    std::vector<size_t> m_requests;
    std::vector<size_t> m_retries;
};

}

BOOST_AUTO_TEST_SUITE(RetryBudgetOfAFleet)

// Without the expiry of credit, processes that are replaced and requests that move granted twice the ratio.
BOOST_AUTO_TEST_CASE(TheRatioHoldsWhileProcessesAreReplacedAndRequestsMove)
{
    BOOST_TEST(rc::check("any window", [](uint64_t seed, uint8_t daemons, uint8_t rate) {
        FailingFleet fleet(seed, size_t { 1 } + daemons % 8, size_t { 1 } + rate % 30);
        fleet.run(500);
        RC_ASSERT(fleet.worstExcess() <= 0);
    }));
}

BOOST_AUTO_TEST_CASE(ABurstOfFailuresMaySpendTheCreditOfHalfAWindow)
{
    auto budget = makeBudget(bounds);
    Instant now { Seconds(100) };
    for (size_t index = 0; index < stepsPerWindow; ++index, now += step)
        budget.recordRequest(now);
    size_t retries = 0;
    for (; budget.mayRetry(now); ++retries)
        budget.recordRetry(now);
    BOOST_TEST(retries >= bounds.ratio * stepsPerWindow / 4);
}

BOOST_AUTO_TEST_CASE(PartsOfCreditAndSlackAddUpToARetry)
{
    auto const now = Instant(Seconds(100));
    auto budget = makeBudget({ 0.2, 1, Seconds(10) });
    BOOST_TEST(!budget.mayRetry(now));
    budget.recordRequest(now);
    budget.recordRequest(now);
    BOOST_TEST(budget.mayRetry(now));
    budget.recordRetry(now);
    BOOST_TEST(!budget.mayRetry(now));
}

BOOST_AUTO_TEST_CASE(WithoutRatioAndSlackNothingIsRetried)
{
    auto const now = Instant(Seconds(100));
    auto budget = makeBudget({ 0, 0, Seconds(10) });
    for (size_t request = 0; request < 1000; ++request)
        budget.recordRequest(now);
    BOOST_TEST(!budget.mayRetry(now));
}

BOOST_AUTO_TEST_SUITE_END()
