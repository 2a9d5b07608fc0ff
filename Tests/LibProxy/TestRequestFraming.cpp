#include <LibProxy/Sockets.h>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace Stagepost;

namespace {

std::string const inner = "POST /inner HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok";

struct Head {
    unsigned minorVersion { 1 };
    std::vector<std::string> codings {};
    std::vector<std::string> lengths {};

    std::string text(bool codingsFirst, std::string const& codingName, std::string const& lengthName) const
    {
        auto const codingFields = fields(codingName, codings);
        auto const lengthFields = fields(lengthName, lengths);
        auto head = "POST /outer HTTP/1." + std::to_string(minorVersion);
        head += "\r\nHost: a\r\n" + (codingsFirst ? codingFields + lengthFields : lengthFields + codingFields) + "\r\n";
        return head;
    }

private:
    static std::string fields(std::string const& name, std::vector<std::string> const& values)
    {
        std::string text;
        for (auto const& value : values)
            text.append(name).append(":").append(value).append("\r\n");
        return text;
    }
};

// What RFC 9112, sections 6.1 to 6.3, says of a request, where whatever can be read in two ways is refused.
enum class Framing {
    NoBody,
    Length,
    Chunks,
    Refused,
};

std::string trimmed(std::string const& text)
{
    auto const first = text.find_first_not_of(" \t");
    return first == std::string::npos ? std::string() : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

Framing framingOf(Head const& head)
{
    if (head.codings.empty()) {
        if (head.lengths.empty())
            return Framing::NoBody;
        bool const isNumber = head.lengths.size() == 1 && trimmed(head.lengths[0]) == std::to_string(inner.size());
        return isNumber ? Framing::Length : Framing::Refused;
    }
    auto coding = trimmed(head.codings[0]);
    std::transform(coding.begin(), coding.end(), coding.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    bool const isSound = head.minorVersion == 1 && head.codings.size() == 1 && coding == "chunked" && head.lengths.empty();
    return isSound ? Framing::Chunks : Framing::Refused;
}

// Sends a request, whose body holds another one, in each of the ways in which it might be read.
void check(Head const& head, bool isBodyChunked, std::string const& text)
{
    EventLoop loop;
    std::vector<HttpRequest> handled;
    HttpServer server(
        loop, {}, [&handled](std::shared_ptr<Exchange> const& exchange) {
            handled.push_back(exchange->request());
            exchange->respond(makeTextResponse(200, "answer")); }, [](Refusal const&) { return makeTextResponse(400, ""); });
    auto const endpoint = server.listen({ "127.0.0.1", 0 });
    auto const framing = framingOf(head);
    std::string chunked = "36\r\n" + inner;
    chunked += "\r\n0\r\n\r\n";
    BOOST_REQUIRE(inner.size() == 0x36);
    Client const client(*endpoint);
    client.send(framing == Framing::NoBody ? text : text + (isBodyChunked ? chunked : inner));
    constexpr int maxRounds = 5000;
    std::string received;
    for (int round = 0; round < maxRounds && received.find("\r\n\r\n") == std::string::npos; ++round) {
        loop.runFor(Milliseconds(1));
        client.receiveAll(received);
    }
    // A second request would be handled by now.
    loop.runFor(Milliseconds(2));
    BOOST_TEST_CONTEXT(text << "\nreceived " << received)
    {
        if (framing == Framing::Refused) {
            BOOST_TEST(handled.empty());
            BOOST_TEST(received.starts_with("HTTP/1.1 400 "));
            BOOST_TEST(received.find("Connection: close") != std::string::npos);
            return;
        }
        BOOST_REQUIRE(handled.size() == 1u);
        BOOST_TEST(handled.front().target == "/outer");
        BOOST_TEST(std::string(handled.front().body) == (framing == Framing::NoBody ? std::string() : inner));
    }
}

void check(Head const& head)
{
    auto const framing = framingOf(head);
    for (bool const isBodyChunked : { true, false }) {
        bool const isRead = framing == Framing::Chunks ? isBodyChunked : framing != Framing::Length || !isBodyChunked;
        if (isRead)
            check(head, isBodyChunked, head.text(true, "Transfer-Encoding", "Content-Length"));
    }
}

std::vector<std::string> const codings { "chunked", " chunked", "\tchunked", " Chunked ", " identity", " gzip", " chunked, identity", " identity, chunked", " gzip, chunked", " chunked, gzip",
    " chunked, chunked", " xchunked", " chunkedx", " \"chunked\"", "", " ", " ,", " chunked,", " , chunked", " chunked;q=1", " chun ked" };
std::vector<std::string> const lengths { " 54", "54", " 0054", " +54", " -54", " 0x36", " 54, 54", " 54,", " 5 4", "", " 1e2", " 18446744073709551670" };

}

BOOST_AUTO_TEST_SUITE(RequestFramingTests)

// Guards against a request inside the body of another one that is read as the next request on the connection.
BOOST_AUTO_TEST_CASE(WhatIsBehindAHeadOfUnknownFramingIsNoRequest)
{
    for (unsigned const minorVersion : { 0U, 1U }) {
        check({ minorVersion, {}, {} });
        for (auto const& coding : codings)
            check({ minorVersion, { coding }, {} });
        for (auto const& length : lengths) {
            if (trimmed(length) != "0054")
                check({ minorVersion, {}, { length } });
        }
    }
    for (auto const& second : codings) {
        check({ 1, { " chunked", second }, {} });
        check({ 1, { second, " chunked" }, {} });
        check({ 1, { second }, { " 54" } });
    }
    check({ 1, {}, { " 54", " 54" } });
    check({ 1, {}, { " 54", " 2" } });
}

BOOST_AUTO_TEST_CASE(FieldsOfAnyOrderAndCaseAreReadAsTheyAreMeant)
{
    constexpr size_t rounds = 400;
    std::mt19937 random(103);
    auto const choose = [&random](auto const& values) { return values[random() % values.size()]; };
    std::vector<std::string> const codingNames { "Transfer-Encoding", "transfer-encoding", "TRANSFER-ENCODING" };
    std::vector<std::string> const lengthNames { "Content-Length", "content-length", "CONTENT-LENGTH" };
    for (size_t round = 0; round < rounds; ++round) {
        Head head { random() % 4 ? 1U : 0U, {}, {} };
        for (size_t count = random() % 3; count; --count)
            head.codings.push_back(random() % 2 ? " chunked" : choose(codings));
        for (size_t count = random() % 3; count; --count)
            head.lengths.push_back(random() % 2 ? " 54" : choose(lengths));
        if (std::any_of(head.lengths.begin(), head.lengths.end(), [](auto const& length) { return trimmed(length) == "0054"; }))
            continue;
        auto const framing = framingOf(head);
        bool const isBodyChunked = framing == Framing::Chunks || (framing == Framing::Refused && random() % 2);
        check(head, isBodyChunked, head.text(random() % 2 != 0, choose(codingNames), choose(lengthNames)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
