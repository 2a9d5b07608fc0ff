#include <LibBase/Base.h>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace Stagepost;

BOOST_AUTO_TEST_SUITE(MessageTests)

BOOST_AUTO_TEST_CASE(ReadsBackWhatWasWritten)
{
    BOOST_TEST(rc::check("numbers and texts are read as they were written", [](uint64_t number, std::string const& text) {
        MessageWriter writer;
        writer.number(number);
        writer.text(text);
        MessageReader reader(writer.release());
        RC_ASSERT(reader.number() == number);
        RC_ASSERT(reader.text() == text);
        RC_ASSERT(reader.finished());
    }));
}

BOOST_AUTO_TEST_CASE(FailedStateIsPermanent)
{
    MessageWriter writer;
    writer.text("not a number");
    writer.number(5);
    MessageReader reader(writer.release());
    BOOST_TEST(reader.number() == 0);
    BOOST_TEST(reader.failed());
    BOOST_TEST(reader.number() == 0);
    BOOST_TEST(!reader.finished());
}

BOOST_AUTO_TEST_CASE(ArbitraryBytesAreRejected)
{
    BOOST_TEST(rc::check("reads of arbitrary bytes fail at the latest past their end", [](std::string const& bytes) {
        MessageReader reader(bytes);
        for (int count = 0; count < 4; ++count) {
            reader.number();
            reader.text();
        }
        RC_ASSERT(reader.failed());
    }));
}

BOOST_AUTO_TEST_CASE(RejectsTooLongDuration)
{
    MessageWriter writer;
    writer.number(~uint64_t { 0 });
    MessageReader reader(writer.release());
    reader.duration();
    BOOST_TEST(reader.failed());
}

BOOST_AUTO_TEST_SUITE_END()
