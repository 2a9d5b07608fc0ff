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

// Guards against a message that overflows the stack by its levels of nesting.
BOOST_AUTO_TEST_CASE(NestedElementsAreRejected)
{
    for (auto const* const level : { "\x91", "\x81\xa1k", "\x92\x01" }) {
        std::string bytes;
        for (size_t count = 0; count < 100000; ++count)
            bytes += level;
        BOOST_TEST(MessageReader(bytes).failed());
        BOOST_TEST(MessageReader(level + std::string(1, '\x90')).failed());
    }
    BOOST_TEST(MessageReader("\x07").failed());
    BOOST_TEST(MessageReader("").failed());
    BOOST_TEST(MessageReader("\x90").finished());
    BOOST_TEST(MessageReader("\x90\x90").failed());
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
