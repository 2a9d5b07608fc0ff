#include <LibBase/Base.h>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace Stagepost;

namespace {

VMId const alice { 1 };
VMId const bob { 2 };

}

BOOST_AUTO_TEST_SUITE(AuthenticatorTests)

BOOST_AUTO_TEST_CASE(AcceptsMessageOfAnotherDaemon)
{
    Authenticator sender("a shared key", alice, Incarnation(7));
    Authenticator receiver("a shared key", bob, Incarnation(9));
    auto const verified = receiver.verifyMessage(sender.signMessage("hello"));
    BOOST_REQUIRE(verified.has_value());
    BOOST_TEST(verified->body == "hello");
    BOOST_TEST((verified->sender == alice));
}

BOOST_AUTO_TEST_CASE(RejectsMessageSignedWithAnotherKey)
{
    Authenticator sender("another key", alice, Incarnation(7));
    Authenticator receiver("a shared key", bob, Incarnation(9));
    BOOST_TEST((receiver.verifyMessage(sender.signMessage("hello")).error().code == make_error_code(ErrorCode::NotAuthenticated)));
}

BOOST_AUTO_TEST_CASE(RejectsReplaysAndMessagesOfAnEarlierIncarnation)
{
    Authenticator before("a shared key", alice, Incarnation(7));
    Authenticator after("a shared key", alice, Incarnation(1000));
    Authenticator receiver("a shared key", bob, Incarnation(9));
    auto const first = before.signMessage("one");
    auto const late = before.signMessage("late");
    BOOST_TEST(receiver.verifyMessage(first).has_value());
    BOOST_TEST((receiver.verifyMessage(first).error().code == make_error_code(ErrorCode::Replayed)));
    BOOST_TEST(receiver.verifyMessage(after.signMessage("two")).has_value());
    BOOST_TEST((receiver.verifyMessage(late).error().code == make_error_code(ErrorCode::Replayed)));
}

BOOST_AUTO_TEST_CASE(AcceptsReorderedMessagesOnce)
{
    Authenticator sender("a shared key", alice, Incarnation(7));
    Authenticator receiver("a shared key", bob, Incarnation(9));
    auto const first = sender.signMessage("one");
    auto const second = sender.signMessage("two");
    BOOST_TEST(receiver.verifyMessage(second).has_value());
    BOOST_TEST(receiver.verifyMessage(first).has_value());
    BOOST_TEST(!receiver.verifyMessage(first).has_value());
}

BOOST_AUTO_TEST_CASE(RejectsDamagedMessages)
{
    BOOST_TEST(rc::check("a message with one changed byte is rejected", [](std::string const& body, uint16_t at, uint8_t change) {
        RC_PRE(change != 0);
        Authenticator sender("a shared key", alice, Incarnation(7));
        Authenticator receiver("a shared key", bob, Incarnation(9));
        auto message = sender.signMessage(body);
        auto& byte = message[at % message.size()];
        byte = static_cast<char>(byte ^ change);
        RC_ASSERT(!receiver.verifyMessage(message).has_value());
    }));
}

BOOST_AUTO_TEST_SUITE_END()
