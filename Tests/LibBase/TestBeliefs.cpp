#include <LibBase/Base.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

namespace {

Instant at(double seconds)
{
    return Instant(Microseconds(static_cast<int64_t>(seconds * 1e6)));
}

}

BOOST_AUTO_TEST_SUITE(BeliefTests)

BOOST_AUTO_TEST_CASE(ABeliefIsAsOldAsTheReadThatProvedIt)
{
    ProvenAge age;
    BOOST_TEST(!age.isWithin(Seconds(1000), at(1)));
    age.confirm(at(10));
    BOOST_TEST(age.isWithin(Seconds(5), at(15)));
    BOOST_TEST(!age.isWithin(Seconds(5), at(15.001)));
}

BOOST_AUTO_TEST_CASE(AnAnswerThatComesLateMakesNothingNewer)
{
    ProvenAge age;
    age.confirm(at(10));
    age.confirm(at(4));
    BOOST_TEST((*age.age(at(12)) == Seconds(2)));
}

BOOST_AUTO_TEST_CASE(TheLogIsBoundedAndSaysWhatItLeftOut)
{
    LogBudget budget;
    size_t written = 0;
    for (size_t line = 0; line < 3000; ++line)
        written += budget.allows(at(1)) ? 1 : 0;
    BOOST_TEST(written == static_cast<size_t>(LogBudget::burst));
    BOOST_TEST(budget.takeLeftOut() == 3000 - written);
    BOOST_TEST(!budget.hasLeftOut());
    // A second later there is room for as many lines as a second may have.
    written = 0;
    for (size_t line = 0; line < 3000; ++line)
        written += budget.allows(at(2)) ? 1 : 0;
    BOOST_TEST(written == static_cast<size_t>(LogBudget::linesPerSecond));
}

BOOST_AUTO_TEST_CASE(LinesOfRequestsLeaveRoomForWhatExplainsThem)
{
    LogBudget budget;
    size_t written = 0;
    for (size_t line = 0; line < 3000; ++line)
        written += budget.allows(at(1), LogBudget::keptFromRequests) ? 1 : 0;
    BOOST_TEST(written == static_cast<size_t>(LogBudget::burst - LogBudget::keptFromRequests));
    for (size_t line = 0; line < static_cast<size_t>(LogBudget::keptFromRequests); ++line)
        BOOST_TEST(budget.allows(at(1)));
    BOOST_TEST(!budget.allows(at(1)));
}

BOOST_AUTO_TEST_CASE(ALogLineIsPrintableWhateverItsValuesHold)
{
    BOOST_TEST(formatEvent("started", { { "name", "e-1" }, { "open", 3 } }) == "event=started name=e-1 open=3");
    BOOST_TEST(formatEvent("x", { { "detail", "a \"b\" \\" } }) == "event=x detail=\"a \\\"b\\\" \\\\\"");
    BOOST_TEST(formatEvent("x", { { "id", "line\nbreak" } }) == "event=x id=\"line\\x0abreak\"");
    BOOST_TEST(formatEvent("x", { { "id", "\x8d" } }) == "event=x id=\"\\x8d\"");
    BOOST_TEST(formatEvent("x", { { "id", "" } }) == "event=x id=\"\"");
}

BOOST_AUTO_TEST_SUITE_END()
