#include <LibProxy/TruncatingUpstream.h>

#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>

namespace Stagepost {

namespace {

    constexpr int backlog = 256;

    std::string inChunk(std::string_view bytes)
    {
        std::array<char, 16> size {};
        std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        return size.data() + std::string(bytes) + "\r\n";
    }

}

std::string CuttableAnswer::head() const
{
    auto head = interim + "HTTP/1." + std::to_string(minorVersion) + " " + std::to_string(status) + " X\r\nX-Request-Id: id\r\nContent-Type: ";
    head += isEventStream ? "text/event-stream\r\n" : "text/plain\r\n";
    if (framing == Framing::Length)
        head += "Content-Length: " + std::to_string(body().size()) + "\r\n";
    if (framing == Framing::Chunks)
        head += "Transfer-Encoding: chunked\r\n";
    return head + "\r\n";
}

std::string CuttableAnswer::framedBody() const
{
    if (hasNoBody)
        return {};
    auto const content = body();
    auto const half = content.size() / 2;
    return framing == Framing::Chunks ? inChunk(content.substr(0, half)) + inChunk(content.substr(half)) + "0\r\n\r\n" : content;
}

bool CuttableAnswer::isWhole(size_t byteCount, CutEnd end, bool examinesEvents) const
{
    if (hasNoBody || framing != Framing::EndOfConnection)
        return byteCount == bytes().size();
    if (end == CutEnd::Reset || byteCount < head().size())
        return false;
    auto const received = bytes().substr(head().size(), byteCount - head().size());
    if (isEventStream)
        return examinesEvents ? received.ends_with("\n\n") : !received.empty();
    return true;
}

TruncatingUpstream::TruncatingUpstream(CuttableAnswer const& answer, CutEnd cutEnd, bool sendsByteByByte)
    : m_bytes(answer.bytes())
    , m_cutEnd(cutEnd)
    , m_sendsByteByByte(sendsByteByByte)
    , m_port(backlog)
    , m_thread([this] { serve(); })
{
}

TruncatingUpstream::~TruncatingUpstream()
{
    m_isStopped = true;
    m_thread.join();
}

void TruncatingUpstream::serve()
{
    constexpr int pollMilliseconds = 2;
    std::vector<Connection> connections;
    while (!m_isStopped) {
        std::vector<pollfd> polled { { m_port.descriptor(), POLLIN, 0 } };
        for (auto const& connection : connections)
            polled.push_back({ connection.socket, POLLIN, 0 });
        ::poll(polled.data(), polled.size(), pollMilliseconds);
        std::vector<Connection> open;
        for (size_t index = 0; index < connections.size(); ++index) {
            auto& connection = connections[index];
            if (!polled[index + 1].revents || serveConnection(connection))
                open.push_back(std::move(connection));
            else
                ::close(connection.socket);
        }
        connections = std::move(open);
        if (polled[0].revents) {
            connections.push_back({ m_port.accept(), {} });
            int const noDelay = 1;
            ::setsockopt(connections.back().socket, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
        }
    }
    for (auto const& connection : connections)
        ::close(connection.socket);
}

bool TruncatingUpstream::serveConnection(Connection& connection) const
{
    std::array<char, 4096> buffer {};
    auto const size = ::recv(connection.socket, buffer.data(), buffer.size(), 0);
    if (size <= 0)
        return false;
    connection.received.append(buffer.data(), static_cast<size_t>(size));
    if (!connection.received.ends_with("\r\n\r\n"))
        return true;
    auto const request = std::exchange(connection.received, {});
    auto const target = request.find('/');
    return answer(connection.socket, std::string_view(request).substr(target, request.find(' ', target) - target));
}

bool TruncatingUpstream::answer(int socket, std::string_view target) const
{
    constexpr std::string_view cut = "/cut/";
    if (target == "/begin") {
        send(socket, "HTTP/1.1 200 X\r\nX-Request-Id: id\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + inChunk("id: 1\ndata: x\n\n"));
        return false;
    }
    if (!target.starts_with(cut)) {
        send(socket, "HTTP/1.1 200 X\r\nX-Request-Id: id\r\nContent-Length: 0\r\n\r\n");
        return true;
    }
    send(socket, m_bytes.substr(0, std::stoul(std::string(target.substr(cut.size())))));
    if (m_cutEnd == CutEnd::Reset) {
        linger const reset { 1, 0 };
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    return false;
}

void TruncatingUpstream::send(int socket, std::string const& bytes) const
{
    size_t const step = m_sendsByteByByte ? 1 : std::max<size_t>(bytes.size(), 1);
    for (size_t sent = 0; sent < bytes.size(); sent += step) {
        if (::send(socket, bytes.data() + sent, step, MSG_NOSIGNAL) < 0)
            return;
        if (m_sendsByteByByte)
            std::this_thread::yield();
    }
}

}
