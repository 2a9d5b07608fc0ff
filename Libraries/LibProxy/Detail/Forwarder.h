#pragma once

#include <LibProxy/Detail/Exchange.h>
#include <LibProxy/Detail/IdleWatchdog.h>
#include <LibProxy/Detail/UpstreamConnections.h>
#include <LibProxy/EventSplitter.h>
#include <array>

namespace Stagepost {

// Sends one request to an upstream and streams its answer to the caller, part
// by part: the next part is read only when the caller has taken the last one.
class Forwarder {
public:
    struct Caller {
        TcpStream& stream;
        bool canChunk;
        bool keepAlive;
        bool isHead;
    };

    Forwarder(Net::io_context& context, UpstreamConnections& connections, SessionExchange& exchange, Caller caller, ForwardPlan const& plan)
        : m_context(context)
        , m_connections(connections)
        , m_exchange(exchange)
        , m_caller(caller)
        , m_plan(plan)
    {
    }

    Net::awaitable<ForwardResult> run();

    // Whether the caller's connection can carry another request.
    bool callerKeptAlive() const { return m_callerKeptAlive; }

private:
    using AnswerParser = Http::response_parser<Http::buffer_body>;

    static constexpr size_t partSize = 16u << 10;
    // The body of a rejected answer that is still read, to keep its connection.
    static constexpr uint64_t mostRejectedBody = 64u << 10;

    Net::awaitable<void> attempt();
    Net::awaitable<bool> connect();
    void send();
    Net::awaitable<bool> readHead();
    bool checkHead();
    Net::awaitable<void> skipRejectedBody();
    Net::awaitable<void> relay();
    Net::awaitable<bool> readPart(std::string_view& bytes);
    Net::awaitable<bool> passOn(std::string_view bytes);
    Net::awaitable<bool> writeHead(std::optional<uint64_t> length);
    Net::awaitable<bool> writePart(std::string_view);
    Net::awaitable<bool> finishAnswer();
    Net::awaitable<void> endWithErrorEvent();
    bool writeFailed(NetError);
    HttpFields answerHeaders() const;
    std::optional<uint64_t> upstreamLength() const;
    void expired();
    void noteSign(UpstreamSign);
    void fail(RefusalReason, std::string const& detail);
    void failRead(NetError);
    void giveConnectionBack();

    Net::io_context& m_context;
    UpstreamConnections& m_connections;
    SessionExchange& m_exchange;
    Caller m_caller;
    ForwardPlan const& m_plan;
    ForwardResult m_result;
    AnswerParser m_parser;
    std::shared_ptr<UpstreamConnection> m_connection;
    std::optional<IdleWatchdog> m_watchdog;
    std::optional<EventSplitter> m_splitter;
    std::array<char, partSize> m_part;
    // What is held back until the answer is whole.
    std::string m_held;
    std::string m_requestId;
    bool m_isHeadWritten { false };
    bool m_isChunked { false };
    bool m_isEventStream { false };
    bool m_isCallersTurn { false };
    bool m_callerKeptAlive { false };
};

}
