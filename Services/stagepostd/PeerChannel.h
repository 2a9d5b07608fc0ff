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
    // Daemons of earlier versions send crashes as 'c' and 'p', without the times for which requests were in flight.
    Crashes = 'C',
    PartCrashes = 'P',
    Trials = 't',
    Permits = 'l',
    Holders = 'h',
    Rollouts = 'v',
    Detours = 'd',
    StreamOrigins = 'o',
    StreamOriginLog = 'g',
};

// Sends and receives authenticated datagrams. Forged, malformed and replayed datagrams are dropped
// and counted.
class PeerChannel {
public:
    using Receiver = std::function<void(PeerMessageKind, VMId from, Endpoint const& source, std::string_view body)>;

    PeerChannel(DatagramSocket&, Authenticator&, Metrics&, Receiver);

    void send(Endpoint const& to, PeerMessageKind, std::string_view body);
    // Verifies a datagram that the socket has received, and passes its message to the receiver.
    void handleDatagram(Endpoint const& source, std::string_view datagram);

private:
    DatagramSocket& m_socket;
    Authenticator& m_authenticator;
    Metrics& m_metrics;
    Receiver m_receiver;
};

}
