#include <stagepostd/ServerDrain.h>

#include <LibBase/Log.h>

namespace Stagepost {

namespace {

    constexpr Milliseconds pollInterval { 20 };

}

ServerDrain::ServerDrain(EventLoop& loop, HttpServer& server, std::function<size_t()> otherRequests)
    : m_loop(loop)
    , m_server(server)
    , m_otherRequests(std::move(otherRequests))
    , m_timer(loop)
{
}

void ServerDrain::start(Milliseconds gracePeriod, Instant limit, std::function<void()> drained)
{
    m_timer.once(gracePeriod, [this, limit, drained = std::move(drained)] {
        m_server.stopListening();
        waitForOpenRequests(limit, drained);
    });
}

void ServerDrain::waitForOpenRequests(Instant limit, std::function<void()> const& drained)
{
    bool const isFinished = openRequests() == 0 || m_loop.now() >= limit;
    if (!isFinished) {
        m_timer.once(pollInterval, [this, limit, drained] { waitForOpenRequests(limit, drained); });
        return;
    }
    logEvent(LogLevel::Info, "drained", { { "cut_off", openRequests() } });
    drained();
}

}
