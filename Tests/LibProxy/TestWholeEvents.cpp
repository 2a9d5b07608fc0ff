#include <LibProxy/ForwardedAnswer.h>

using namespace Stagepost;

namespace {

constexpr std::string_view firstEvents = ": a comment\n\ndata: one\nid: words\n\nevent: x\ndata\n\n";
constexpr std::string_view errorEvent = "event: error\ndata: {\"error\":{\"reason\":\"";

std::string head(std::string const& fields)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + fields + "\r\n";
}

std::string chunk(std::string_view bytes)
{
    std::array<char, 16> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + std::string(bytes) + "\r\n";
}

// The body that a client got in chunks, also if the last one is missing.
std::string bodyOf(std::string_view received)
{
    std::string body;
    auto rest = received.substr(received.find("\r\n\r\n") + 4);
    while (!rest.empty()) {
        auto const size = std::stoul(std::string(rest.substr(0, rest.find("\r\n"))), nullptr, 16);
        rest.remove_prefix(rest.find("\r\n") + 2);
        body += rest.substr(0, size);
        rest.remove_prefix(size + 2);
    }
    return body;
}

bool isWhole(std::string_view received) { return received.ends_with("\r\n0\r\n\r\n"); }

ForwardPlan recordingPlan()
{
    ForwardPlan plan;
    plan.maxRecordedBytes = 4096;
    return plan;
}

// The client gets the sound events, then an error event of the given reason, and no end.
void checkEndsWithErrorEvent(ForwardedAnswer const& answer, std::string_view events, std::string_view reason)
{
    BOOST_TEST_CONTEXT("received " << answer.received)
    {
        BOOST_REQUIRE((answer.result && answer.result->failure));
        BOOST_TEST(bodyOf(answer.received).starts_with(std::string(events) + std::string(errorEvent) + std::string(reason) + '"'));
        BOOST_TEST(!isWhole(answer.received));
        BOOST_TEST(!answer.result->isRecordingComplete);
    }
}

}

// Guards against an error event that is appended to a part of an event, so that both are read as one, and against foreign bytes in
// streams of which no progress is kept.
BOOST_AUTO_TEST_SUITE(WholeEventsTests)

BOOST_AUTO_TEST_CASE(SoundStreamIsUnchanged)
{
    auto const stream = std::string(firstEvents) + "\n\ndata: [DONE]\n\n";
    for (size_t at = 1; at < stream.size(); ++at) {
        ForwardedAnswer const answer(head("Transfer-Encoding: chunked\r\n") + chunk(stream.substr(0, at)) + chunk(stream.substr(at)) + "0\r\n\r\n", recordingPlan());
        BOOST_REQUIRE((answer.result && !answer.result->failure));
        BOOST_TEST(bodyOf(answer.received) == stream);
        BOOST_TEST(isWhole(answer.received));
        BOOST_TEST((answer.result->isRecordingComplete && answer.result->recordedResponse.body == stream));
    }
    ForwardedAnswer const answer(head("Content-Length: " + std::to_string(stream.size()) + "\r\n") + stream);
    BOOST_REQUIRE((answer.result && !answer.result->failure));
    BOOST_TEST(answer.received.ends_with("\r\n\r\n" + stream));
    BOOST_TEST(answer.received.find("\r\nContent-Length: " + std::to_string(stream.size()) + "\r\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ErrorEventIsNeverInsideAnEvent)
{
    constexpr std::string_view next = "data: next\nid: 7\n\n";
    for (size_t at = 0; at < next.size(); ++at) {
        for (bool const isCutInAChunk : { false, true }) {
            auto const part = std::string(firstEvents) + std::string(next.substr(0, at));
            auto const bytes = isCutInAChunk ? "ff\r\n" + part : chunk(part);
            checkEndsWithErrorEvent(ForwardedAnswer(head("Transfer-Encoding: chunked\r\n") + bytes, recordingPlan(), true), firstEvents, "upstream-broken");
        }
    }
}

BOOST_AUTO_TEST_CASE(ForeignBytesAreNotPassedOn)
{
    for (std::string const foreign : { "HTTP/1.1 200 OK\r\nX-Field: a\r\n\r\nwords\n\n", "data: ab\xff\n\n", "words\1\n\n", "data: a\nHTTP/1.1 200 OK\n\n" }) {
        auto const stream = std::string(firstEvents) + foreign + "data: [DONE]\n\n";
        ForwardedAnswer const answer(head("Transfer-Encoding: chunked\r\n") + chunk(stream) + "0\r\n\r\n", recordingPlan());
        checkEndsWithErrorEvent(answer, firstEvents, "upstream-mixed-answer");
        BOOST_TEST(answer.result->hasForeignBytes);
    }
}

// What is missing of the announced length shows the cut.
BOOST_AUTO_TEST_CASE(StreamWithALengthGetsNoErrorEvent)
{
    ForwardedAnswer const answer(head("Content-Length: 100\r\n") + std::string(firstEvents) + "data: a\1\n\n");
    BOOST_REQUIRE((answer.result && answer.result->failure));
    BOOST_TEST(answer.received.ends_with("\r\n\r\n" + std::string(firstEvents)));
}

// The daemon can't read such events, nor add one.
BOOST_AUTO_TEST_CASE(EncodedStreamIsPassedOnAsItIs)
{
    auto const start = head("Content-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n") + chunk("\x1f\x8b\x01");
    ForwardedAnswer const whole(start + "0\r\n\r\n");
    BOOST_REQUIRE((whole.result && !whole.result->failure));
    BOOST_TEST(bodyOf(whole.received) == "\x1f\x8b\x01");
    ForwardedAnswer const cut(start, {}, true);
    BOOST_REQUIRE((cut.result && cut.result->failure));
    BOOST_TEST(bodyOf(cut.received) == "\x1f\x8b\x01");
}

BOOST_AUTO_TEST_SUITE_END()
