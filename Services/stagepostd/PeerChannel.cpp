#include <stagepostd/PeerChannel.h>

namespace Stagepost {

namespace {

    std::string_view dropLabel(std::error_code code)
    {
        if (code == make_error_code(ErrorCode::NotAuthenticated))
            return "reason=\"forged\"";
        if (code == make_error_code(ErrorCode::Replayed))
            return "reason=\"replayed\"";
        return "reason=\"malformed\"";
    }

}

PeerChannel::PeerChannel(DatagramSocket& socket, Authenticator& authenticator, Metrics& metrics, Receiver receiver)
    : m_socket(socket)
    , m_authenticator(authenticator)
    , m_metrics(metrics)
    , m_receiver(std::move(receiver))
{
}

void PeerChannel::send(Endpoint const& to, PeerMessageKind kind, std::string_view body)
{
    std::string message(1, static_cast<char>(kind));
    message += body;
    m_socket.send(to, m_authenticator.signMessage(message));
}

void PeerChannel::handleDatagram(Endpoint const& source, std::string_view datagram)
{
    auto const verified = m_authenticator.verifyMessage(datagram);
    if (!verified) {
        m_metrics.count("stagepost_peer_dropped_total", dropLabel(verified.error().code));
        return;
    }
    if (verified->body.empty()) {
        m_metrics.count("stagepost_peer_dropped_total", dropLabel(make_error_code(ErrorCode::Malformed)));
        return;
    }
    auto const kind = static_cast<PeerMessageKind>(verified->body.front());
    m_receiver(kind, verified->sender, source, std::string_view(verified->body).substr(1));
}

}
