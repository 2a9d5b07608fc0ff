#pragma once

#include <LibProxy/Endpoint.h>
#include <LibProxy/EventLoop.h>
#include <string_view>

namespace Stagepost {

// A UDP socket for the messages between daemons. Delivery is not guaranteed and
// nothing is retransmitted: a sender that needs a response sends its message again.
class DatagramSocket {
public:
    using Receiver = std::function<void(Endpoint const& from, std::string_view bytes)>;

    DatagramSocket(EventLoop&, Receiver);
    ~DatagramSocket();
    DatagramSocket(DatagramSocket const&) = delete;
    DatagramSocket& operator=(DatagramSocket const&) = delete;

    // Port 0 selects a free port. Returns the bound endpoint. Replaces an earlier binding.
    Result<Endpoint> bind(Endpoint const&);
    void send(Endpoint const& to, std::string_view bytes);

    uint64_t bytesSent() const;
    uint64_t messagesSent() const;
    uint64_t bytesReceived() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
