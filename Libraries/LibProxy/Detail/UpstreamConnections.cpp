#include <LibProxy/Detail/UpstreamConnections.h>

#include <LibBase/Hash.h>
#include <algorithm>
#include <sys/socket.h>

namespace Stagepost {

namespace {

    // Whether the connection is open and has no unread data, such as an unexpected or late response.
    bool isOpenWithoutData(UpstreamConnection& connection)
    {
        char byte = 0;
        auto const received = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    bool isWithinKeepAlive(UpstreamConnection const& connection, Microseconds idleTime)
    {
        std::chrono::duration<double> const usable = connection.keepAlive * UpstreamConnections::usableKeepAliveShare;
        return idleTime <= usable;
    }

}

void UpstreamConnection::setOptions()
{
    resetWhenClosed(stream);
    NetError ignored;
    stream.socket().set_option(Tcp::no_delay(true), ignored);
    sendBuffer.apply(stream.socket());
}

void UpstreamConnection::close()
{
    if (!stream.socket().is_open())
        return;
    if (!isAnswered) {
        end = closeAfterGivingUp(stream);
        return;
    }
    closeAfterAnswer(stream);
    end = ConnectionEnd::Closed;
}

std::shared_ptr<UpstreamConnection> UpstreamConnections::create(Net::io_context& context) const
{
    return std::make_shared<UpstreamConnection>(context, m_memory, m_limits.socketBufferSize);
}

void UpstreamConnection::recordRejection(std::string const& requestId)
{
    m_rejectedRequests.push_back(hashOf(requestId));
}

bool UpstreamConnection::mayCarry(std::string const& requestId) const
{
    return std::find(m_rejectedRequests.begin(), m_rejectedRequests.end(), hashOf(requestId)) == m_rejectedRequests.end();
}

// Reuses the newest connection first, so that surplus ones expire.
std::shared_ptr<UpstreamConnection> UpstreamConnections::acquire(Endpoint const& endpoint, Milliseconds maxIdleTime, std::string const& requestId)
{
    auto const found = m_idle.find(endpoint);
    if (found == m_idle.end())
        return nullptr;
    auto& idle = found->second;
    auto const now = MonotonicClock::now();
    std::erase_if(idle, [&](auto const& connection) { return !isWithinKeepAlive(*connection, now - connection->idleSince); });
    for (auto position = idle.size(); position-- > 0 && now - idle[position]->idleSince <= maxIdleTime;) {
        if (!idle[position]->mayCarry(requestId))
            continue;
        auto connection = std::move(idle[position]);
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(position));
        if (isOpenWithoutData(*connection))
            return connection;
    }
    if (idle.empty())
        m_idle.erase(found);
    return nullptr;
}

bool UpstreamConnections::hasClosed(Endpoint const& endpoint) const
{
    auto const found = m_idle.find(endpoint);
    return found != m_idle.end() && std::any_of(found->second.begin(), found->second.end(), [](auto const& connection) { return !isOpenWithoutData(*connection); });
}

size_t UpstreamConnections::idleCount() const
{
    size_t count = 0;
    for (auto const& [endpoint, idle] : m_idle)
        count += idle.size();
    return count;
}

void UpstreamConnections::release(Endpoint const& endpoint, std::shared_ptr<UpstreamConnection> connection, size_t maxIdle)
{
    if (idleCount() >= m_limits.maxIdle) {
        connection->close();
        return;
    }
    auto& idle = m_idle[endpoint];
    connection->idleSince = MonotonicClock::now();
    connection->sendBuffer.fit(connection->stream.socket(), 0);
    idle.push_back(std::move(connection));
    if (idle.size() > maxIdle)
        idle.erase(idle.begin(), idle.end() - static_cast<std::ptrdiff_t>(maxIdle));
    if (idle.empty())
        m_idle.erase(endpoint);
}

}
