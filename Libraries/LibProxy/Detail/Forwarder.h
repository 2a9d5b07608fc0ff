#pragma once

#include <LibProxy/Detail/HeldResponse.h>
#include <LibProxy/Detail/IdleWatchdog.h>
#include <LibProxy/Detail/UpstreamConnections.h>
#include <LibProxy/EventReader.h>
#include <array>

namespace Stagepost {

// Sends one request to an upstream and streams the response to the client. The next chunk
// is read only after the previous one was written to the client (backpressure).
class Forwarder {
public:
    struct Client {
        TcpStream& stream;
        SocketBuffer& sendBuffer;
        bool supportsChunked;
        // Asked when the head of the response is written.
        std::function<bool()> keepAlive;
        bool isHeadRequest;
    };

    Forwarder(Net::io_context& context, UpstreamConnections& connections, SessionExchange& exchange, Client client, ForwardPlan const& plan)
        : m_context(context)
        , m_connections(connections)
        , m_exchange(exchange)
        , m_client(std::move(client))
        , m_plan(plan)
    {
    }

    Net::awaitable<ForwardResult> run();

    // Whether the client's connection can be used for another request.
    bool isClientKeptAlive() const { return m_isClientKeptAlive; }
    // Whether the response has neither a length nor chunks, so that the end of the connection ends it.
    bool isResponseEndedByClose() const { return m_isEndedByClose; }

private:
    using ResponseParser = Http::response_parser<Http::buffer_body>;

    static constexpr size_t bodyChunkSize = 16u << 10; // bytes
    // The body of a rejected response is read up to this size, so that the connection can be reused.
    static constexpr uint64_t maxDrainedBodySize = 64u << 10; // bytes

    Net::awaitable<void> attempt();
    Net::awaitable<bool> connect();
    void sendRequest();
    Net::awaitable<bool> readHeader();
    bool acceptResponse();
    // Whether the response repeats this request's id, and no other.
    bool repeatsRequestId() const;
    Net::awaitable<void> drainRejectedBody();
    Net::awaitable<bool> passRelayGate();
    void startReadingEvents();
    Net::awaitable<void> relayResponse();
    Net::awaitable<bool> readBodyChunk(std::string_view& bytes);
    Net::awaitable<bool> forwardBodyChunk(std::string_view bytes);
    Net::awaitable<bool> forwardEvents(std::string events);
    Net::awaitable<bool> writeBody(std::string_view);
    Net::awaitable<bool> writeHeader(std::optional<uint64_t> length);
    Net::awaitable<bool> writeBodyChunk(std::string_view);
    Net::awaitable<bool> finishResponse();
    Net::awaitable<void> writeErrorEvent();
    bool finishWrite(NetError);
    void endByClose();
    std::optional<uint64_t> upstreamContentLength() const;
    bool handleSilence();
    // Whether another upstream may send the response, or what is missing of it.
    bool canBeContinued() const;
    void handleTimeout();
    void reportActivity(UpstreamActivity);
    void fail(RefusalReason, std::string const& detail);
    void failUpstreamRead(NetError);
    // Fails because of bytes that are no part of an answer to this request.
    void failForeignBytes(std::string const& detail);
    void failEventStream();
    bool mayReuseConnection() const;
    void releaseConnection();

    Net::io_context& m_context;
    UpstreamConnections& m_connections;
    SessionExchange& m_exchange;
    Client m_client;
    ForwardPlan const& m_plan;
    ForwardResult m_result;
    // Replaced for each header that is read, since it reads only one.
    std::optional<ResponseParser> m_parser { std::in_place };
    std::shared_ptr<UpstreamConnection> m_connection;
    std::optional<IdleWatchdog> m_watchdog;
    // The progress of a stream whose plan keeps none.
    EventProgress m_ownProgress;
    std::optional<EventReader> m_events;
    std::array<char, bodyChunkSize> m_bodyChunk;
    HeldResponse m_held { m_exchange, m_plan, m_result.recordedResponse };
    std::string m_requestId;
    bool m_isHeaderWritten { false };
    bool m_isChunked { false };
    // Whether the client was told the length of the body.
    bool m_isLengthAnnounced { false };
    bool m_isEndedByClose { false };
    bool m_isEventStream { false };
    // Whether this upstream has sent an event that the client did not have.
    bool m_hasNewEvents { false };
    bool m_isWritingToClient { false };
    bool m_isClientKeptAlive { false };
};

}
