#include <LibBase/Base.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

BOOST_AUTO_TEST_SUITE(MetricsTests)

BOOST_AUTO_TEST_CASE(ListsEveryRefusalReasonInitially)
{
    Metrics const metrics;
    auto const text = metrics.render();
    for (size_t index = 0; index < static_cast<size_t>(RefusalReason::Count); ++index) {
        auto const line = "stagepost_refusals_total{reason=\"" + std::string(nameOf(static_cast<RefusalReason>(index))) + "\"} 0\n";
        BOOST_TEST(text.find(line) != std::string::npos, line);
    }
}

BOOST_AUTO_TEST_CASE(CountsRefusalsAndVerdicts)
{
    Metrics metrics;
    metrics.countRefusal({ RefusalReason::QueueFull, NotRunProof::nothingSent(), "", {} });
    BOOST_TEST(metrics.counter("stagepost_refusals_total", "reason=\"queue-full\"") == 1u);
    BOOST_TEST(metrics.counter("stagepost_verdicts_total", "verdict=\"not-run\"") == 1u);
}

BOOST_AUTO_TEST_CASE(BucketsAreCumulative)
{
    Metrics metrics;
    metrics.observe("wait", Microseconds(1));
    metrics.observe("wait", Microseconds(1000));
    metrics.observe("wait", Microseconds(1000000000));
    auto const text = metrics.render();
    BOOST_TEST(text.find("wait_bucket{le=\"+Inf\"} 3") != std::string::npos);
    BOOST_TEST(text.find("wait_count 3") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(CombineKeepsTheDoubt)
{
    BOOST_TEST((combine(NotRunProof::nothingSent(), Verdict::mayHaveRun) == Verdict::mayHaveRun));
    BOOST_TEST((combine(Verdict::mayHaveRun, NotRunProof::upstreamSaidSo()) == Verdict::mayHaveRun));
    BOOST_TEST((combine(Verdict::mayHaveRun, Verdict::ran) == Verdict::ran));
    BOOST_TEST(combine(NotRunProof::nothingSent(), NotRunProof::nothingSent()).isNotRun());
    BOOST_TEST(combine(NotRunProof::notConnected(), NotRunProof::nothingSent()).proofName() == "not-connected");
    BOOST_TEST(combine(NotRunProof::notConnected(), NotRunProof::otherDaemonSaidSo()).proofName() == "other-daemon-said-so");
}

BOOST_AUTO_TEST_SUITE_END()
