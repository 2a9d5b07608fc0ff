#include <LibProxy/DatagramSocket.h>

#include <LibProxy/Detail/Native.h>
#include <array>

namespace Stagepost {

struct DatagramSocket::State : std::enable_shared_from_this<DatagramSocket::State> {
    static constexpr size_t maxDatagramSize = 65536; // bytes

    State(EventLoop& loop, Receiver function)
        : socket(loop.native().context)
        , receiver(std::move(function))
    {
    }

    void receiveNext()
    {
        socket.async_receive_from(Net::buffer(buffer), sender, [self = shared_from_this()](NetError failure, size_t size) {
            if (failure == Net::error::operation_aborted || !self->socket.is_open())
                return;
            if (!failure) {
                self->bytesReceived += size;
                self->receiver(toEndpoint(self->sender), std::string_view(self->buffer.data(), size));
            }
            if (self->socket.is_open())
                self->receiveNext();
        });
    }

    Udp::socket socket;
    Receiver receiver;
    Udp::endpoint sender;
    std::array<char, maxDatagramSize> buffer;
    uint64_t bytesSent { 0 };
    uint64_t messagesSent { 0 };
    uint64_t bytesReceived { 0 };
};

DatagramSocket::DatagramSocket(EventLoop& loop, Receiver receiver)
    : m_state(std::make_shared<State>(loop, std::move(receiver)))
{
}

DatagramSocket::~DatagramSocket()
{
    NetError ignored;
    m_state->socket.close(ignored);
    m_state->receiver = [](auto const&, auto) {};
}

Result<Endpoint> DatagramSocket::bind(Endpoint const& endpoint)
{
    auto const nativeEndpoint = toNativeEndpoint<Udp>(endpoint);
    NetError failure;
    m_state->socket.close(failure);
    m_state->socket.open(nativeEndpoint.protocol(), failure);
    if (!failure)
        m_state->socket.bind(nativeEndpoint, failure);
    if (failure)
        return Error(ErrorCode::Unreachable, "cannot bind " + endpoint.toString() + ": " + failure.message());
    m_state->socket.non_blocking(true);
    m_state->receiveNext();
    return toEndpoint(m_state->socket.local_endpoint());
}

void DatagramSocket::send(Endpoint const& to, std::string_view bytes)
{
    NetError ignored;
    m_state->socket.send_to(Net::buffer(bytes.data(), bytes.size()), toNativeEndpoint<Udp>(to), 0, ignored);
    m_state->bytesSent += bytes.size();
    ++m_state->messagesSent;
}

uint64_t DatagramSocket::bytesSent() const { return m_state->bytesSent; }
uint64_t DatagramSocket::messagesSent() const { return m_state->messagesSent; }
uint64_t DatagramSocket::bytesReceived() const { return m_state->bytesReceived; }

}
