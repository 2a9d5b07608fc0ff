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

PeerChannel::PeerChannel(EventLoop& loop, Authenticator& authenticator, Metrics& metrics, Receiver receiver)
    : m_authenticator(authenticator)
    , m_metrics(metrics)
    , m_receiver(std::move(receiver))
    , m_socket(loop, [this](Endpoint const& source, std::string_view bytes) { handleDatagram(source, bytes); })
{
}

void PeerChannel::send(Endpoint const& to, PeerMessageKind kind, std::string_view body)
{
    std::string message(1, static_cast<char>(kind));
    message += body;
    m_socket.send(to, m_authenticator.signMessage(message));
}

void PeerChannel::handleDatagram(Endpoint const& source, std::string_view sealed)
{
    auto const opened = m_authenticator.verifyMessage(sealed);
    if (!opened) {
        m_metrics.count("stagepost_peer_dropped_total", dropLabel(opened.error().code));
        return;
    }
    if (opened->body.empty()) {
        m_metrics.count("stagepost_peer_dropped_total", dropLabel(make_error_code(ErrorCode::Malformed)));
        return;
    }
    auto const kind = static_cast<PeerMessageKind>(opened->body.front());
    m_receiver(kind, opened->sender, source, std::string_view(opened->body).substr(1));
}

}
