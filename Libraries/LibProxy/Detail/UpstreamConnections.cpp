#include <LibProxy/Detail/UpstreamConnections.h>

#include <sys/socket.h>

namespace Stagepost {

namespace {

    // Neither closed nor holding a surplus or late answer.
    bool isQuiet(UpstreamConnection& connection)
    {
        char byte = 0;
        auto const received = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    bool isSafelyOpen(UpstreamConnection const& connection, Microseconds rested)
    {
        std::chrono::duration<double> const usable = connection.keepAlive * UpstreamConnections::usableKeepAliveShare;
        return rested <= usable;
    }

}

// The newest connection is taken first, so that those not needed are left to
// grow old and are dropped.
std::shared_ptr<UpstreamConnection> UpstreamConnections::take(Endpoint const& endpoint, Milliseconds longestRest)
{
    auto const found = m_idle.find(endpoint);
    if (found == m_idle.end())
        return nullptr;
    auto& idle = found->second;
    auto const now = MonotonicClock::now();
    std::erase_if(idle, [&](auto const& connection) { return !isSafelyOpen(*connection, now - connection->restsSince); });
    while (!idle.empty()) {
        if (now - idle.back()->restsSince > longestRest)
            return nullptr;
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (isQuiet(*connection))
            return connection;
    }
    m_idle.erase(found);
    return nullptr;
}

void UpstreamConnections::give(Endpoint const& endpoint, std::shared_ptr<UpstreamConnection> connection, size_t mostIdle)
{
    auto& idle = m_idle[endpoint];
    connection->restsSince = MonotonicClock::now();
    idle.push_back(std::move(connection));
    if (idle.size() > mostIdle)
        idle.erase(idle.begin(), idle.end() - static_cast<std::ptrdiff_t>(mostIdle));
    if (idle.empty())
        m_idle.erase(endpoint);
}

}
