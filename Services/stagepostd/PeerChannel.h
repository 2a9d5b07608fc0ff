#pragma once

#include <LibBase/Authenticator.h>
#include <LibBase/Metrics.h>
#include <LibProxy/DatagramSocket.h>
#include <functional>
#include <string>

namespace Stagepost {

// The kind of message in a datagram between daemons.
enum class PeerMessageKind : unsigned char {
    Membership = 'm',
    Routing = 'r',
    State = 's',
    Crashes = 'c',
    Permits = 'l',
    Holders = 'h',
    Rollouts = 'v',
    Detours = 'd',
};

// Sends and receives authenticated datagrams. Forged, malformed and replayed datagrams are dropped
// and counted.
class PeerChannel {
public:
    using Receiver = std::function<void(PeerMessageKind, VMId from, Endpoint const& source, std::string_view body)>;

    PeerChannel(EventLoop&, Authenticator&, Metrics&, Receiver);

    Result<Endpoint> bind(Endpoint const& endpoint) { return m_socket.bind(endpoint); }
    void send(Endpoint const& to, PeerMessageKind, std::string_view body);

    DatagramSocket const& socket() const { return m_socket; }

private:
    void handleDatagram(Endpoint const& source, std::string_view datagram);

    Authenticator& m_authenticator;
    Metrics& m_metrics;
    Receiver m_receiver;
    DatagramSocket m_socket;
};

}
