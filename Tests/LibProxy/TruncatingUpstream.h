#pragma once

#include <LibProxy/Sockets.h>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace Stagepost {

// How an upstream ends a connection within an answer.
enum class CutEnd {
    Normal,
    Reset,
};

// How an upstream's answer says where it ends.
enum class Framing {
    Length,
    Chunks,
    EndOfConnection,
};

// One answer that an upstream can break off after any of its bytes.
struct CuttableAnswer {
    Framing framing { Framing::Length };
    bool isEventStream { false };
    unsigned status { 200 };
    // The minor version of HTTP in the status line.
    int minorVersion { 1 };
    // Whether it has no body, as the answer to a HEAD request or by its status.
    bool hasNoBody { false };
    // Interim answers that come before it.
    std::string interim {};

    std::string body() const { return isEventStream ? "id: 2\ndata: y\n\nid: 3\ndata: z\n\n" : "some words of an answer"; }
    std::string head() const;
    std::string bytes() const { return head() + framedBody(); }
    // Whether the first bytes are a whole answer if the connection then ends like this. A stream without
    // a byte of an event is cut, and for who examines its events also one that ends within an event.
    bool isWhole(size_t byteCount, CutEnd, bool examinesEvents) const;

private:
    std::string framedBody() const;
};

// An upstream on a thread of its own. It breaks the answer to a request for "/cut/N" off after N bytes, sends one whole
// event before it breaks the answer to "/begin" off, and answers all others whole.
class TruncatingUpstream {
public:
    TruncatingUpstream(CuttableAnswer const&, CutEnd, bool sendsByteByByte);
    ~TruncatingUpstream();
    TruncatingUpstream(TruncatingUpstream const&) = delete;
    TruncatingUpstream& operator=(TruncatingUpstream const&) = delete;

    Endpoint const& endpoint() const { return m_port.endpoint; }

private:
    struct Connection {
        int socket;
        std::string received;
    };

    void serve();
    // Both return whether the connection stays open.
    bool serveConnection(Connection&) const;
    bool answer(int socket, std::string_view target) const;
    void send(int socket, std::string const& bytes) const;

    std::string m_bytes;
    CutEnd m_cutEnd;
    bool m_sendsByteByByte;
    ListeningPort m_port;
    std::atomic<bool> m_isStopped { false };
    std::thread m_thread;
};

}
