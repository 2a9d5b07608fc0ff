#pragma once

#include <LibProxy/Sockets.h>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <optional>
#include <string>

namespace Stagepost {

// A server that forwards one request to an upstream, which answers with the given bytes and keeps its connection open unless told
// otherwise.
struct ForwardedAnswer {
    explicit ForwardedAnswer(std::string_view bytes, ForwardPlan const& options = {}, bool closes = false)
    {
        server.emplace(
            loop, HttpServerOptions {}, [this, options](std::shared_ptr<Exchange> const& exchange) {
                auto plan = options;
                plan.upstream = port.endpoint;
                plan.request = exchange->request();
                exchange->forward(std::move(plan), [this, exchange](ForwardResult const& forwarded) {
                    result = forwarded;
                    if (!forwarded.failure)
                        return;
                    if (forwarded.responseStarted)
                        exchange->abort();
                    else
                        exchange->respond(makeTextResponse(502, "refused"));
                }); },
            [](Refusal const&) { return makeTextResponse(400, ""); });
        Client const client(*server->listen({ "127.0.0.1", 0 }));
        client.send("GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        runUntil([this] { return port.isConnected(); });
        auto const connection = port.accept();
        BOOST_REQUIRE(::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
        if (closes)
            ::close(connection);
        runUntil([this, &client] { return client.receiveAll(received) != Client::End::None && result; });
        if (!closes) {
            isConnectionClosed = wasClosed(connection);
            ::close(connection);
        }
    }

    // Returns whether the server has closed its connection to the upstream.
    static bool wasClosed(int connection)
    {
        std::array<char, 4096> buffer {};
        ssize_t size = 0;
        do {
            size = ::recv(connection, buffer.data(), buffer.size(), MSG_DONTWAIT);
        } while (size > 0);
        return size == 0 || errno != EAGAIN;
    }

    template <typename Condition>
    void runUntil(Condition const& isMet)
    {
        constexpr int maxRounds = 10000;
        int round = 0;
        while (!isMet() && ++round < maxRounds)
            loop.runFor(Milliseconds(1));
        BOOST_REQUIRE(round < maxRounds);
    }

    void checkIsForeign() const
    {
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST_CONTEXT(result->detail << ", received " << received)
        {
            BOOST_TEST((result->failure == RefusalReason::UpstreamMixedAnswer));
            BOOST_TEST(result->hasForeignBytes);
            BOOST_TEST((result->verdict == Verdict::mayHaveRun));
            BOOST_TEST((result->responseStarted || received.starts_with("HTTP/1.1 502 ")));
            BOOST_TEST(!received.ends_with("0\r\n\r\n"));
        }
    }

    EventLoop loop;
    ListeningPort port;
    std::optional<HttpServer> server;
    std::optional<ForwardResult> result;
    std::string received;
    // Whether the server keeps the upstream's connection for no other request.
    bool isConnectionClosed { false };
};

}
