#include <LibProxy/ForwardedAnswer.h>
#include <vector>

using namespace Stagepost;

namespace {

constexpr std::string_view chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view eventsHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view eventChunk = "10\r\nid: 1\ndata: abc\n\r\n";
constexpr std::string_view wholeEventChunk = "f\r\nid: 1\ndata: x\n\n\r\n";

std::vector<ForwardPlan> allForwardings()
{
    ForwardPlan direct;
    ForwardPlan buffered;
    buffered.maxBufferedBytes = 4096;
    return { direct, buffered };
}

ForwardPlan eventsPlan()
{
    ForwardPlan plan;
    plan.progress = std::make_shared<EventProgress>();
    plan.eventFormat.numbering = EventNumbering::Consecutive;
    plan.sendErrorEvent = false;
    return plan;
}

}

// Guards against foreign bytes of an upstream that are passed on, or that are taken for the end of its process: a request whose
// answers break off with the process counts as one that crashes upstreams.
BOOST_AUTO_TEST_SUITE(ForeignBytesTests)

BOOST_AUTO_TEST_CASE(BadFramingInABodyIsForeign)
{
    for (auto const* const foreign : { "zz\r\nwords\r\n", "HTTP/1.1 200 OK\r\n\r\n", "5\r\nwordsXX\r\n", "\r\n", "5 words\r\n", "fffffffffffffffff\r\n" }) {
        for (auto const& plan : allForwardings())
            ForwardedAnswer(std::string(chunkedHead) + "5\r\nsome \r\n" + foreign, plan).checkIsForeign();
        ForwardedAnswer const stream(std::string(eventsHead) + std::string(wholeEventChunk) + foreign, eventsPlan());
        stream.checkIsForeign();
        BOOST_TEST(stream.received.find("id: 1\ndata: x\n\n") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(HeadOfAnotherFormIsForeign)
{
    for (auto const* const head : {
             "garbage\r\n\r\n",
             "\x01\x02\x03\x04 words\r\n\r\n",
             "HTTP/1.1 words\r\n\r\n",
             "HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 200 OK\r\nX-Field: a\x01z\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 200 OK\r\nX-Field: a\x7f\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nwords",
             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwords\r\n0\r\n\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n5\r\nwords\r\n0\r\n\r\n",
         }) {
        for (auto const& plan : allForwardings())
            ForwardedAnswer(head, plan).checkIsForeign();
    }
    constexpr std::string_view withNul("HTTP/1.1 200 OK\r\nX-Field: a\0z\r\nContent-Length: 0\r\n\r\n", 52);
    ForwardedAnswer(withNul).checkIsForeign();
}

// The upstream's process may have ended under the request.
BOOST_AUTO_TEST_CASE(AnswerThatBreaksOffIsNotForeign)
{
    for (auto const& bytes : { std::string(), std::string("HTTP/1.1 20"), std::string("HTTP/1.1 200 OK\r\nX-Fie"), std::string(chunkedHead), std::string(chunkedHead) + "5", std::string(chunkedHead) + "5\r\nso",
             std::string(chunkedHead) + "5\r\nsome ", std::string(chunkedHead) + "5\r\nsome \r\n", std::string(chunkedHead) + "5\r\nsome \r\n0\r\n", std::string(eventsHead) + std::string(eventChunk) }) {
        ForwardedAnswer const answer(bytes, {}, true);
        BOOST_REQUIRE(answer.result.has_value());
        BOOST_TEST((answer.result->failure == RefusalReason::UpstreamBroken));
        BOOST_TEST(!answer.result->hasForeignBytes);
    }
}

BOOST_AUTO_TEST_SUITE_END()
