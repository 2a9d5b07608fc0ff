#include <stagepostd/ServerDrain.h>

#include <LibBase/Log.h>

namespace Stagepost {

namespace {

    constexpr Milliseconds pollInterval { 20 };
    constexpr size_t maxLoggedRequests { 100 };

}

ServerDrain::ServerDrain(EventLoop& loop, HttpServer& server, std::string requestIdField, std::function<size_t()> otherRequests)
    : m_loop(loop)
    , m_server(server)
    , m_requestIdField(std::move(requestIdField))
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

void ServerDrain::logCutOff() const
{
    size_t logged = 0;
    m_server.forEachOpenRequest([&](HttpRequest const& request) {
        if (logged++ < maxLoggedRequests)
            logEvent(LogLevel::Warning, "cut-off", { { "id", request.headers.find(m_requestIdField) }, { "path", request.path() } });
    });
}

void ServerDrain::waitForOpenRequests(Instant limit, std::function<void()> const& drained)
{
    bool const isFinished = openRequests() == 0 || m_loop.now() >= limit;
    if (!isFinished) {
        m_timer.once(pollInterval, [this, limit, drained] { waitForOpenRequests(limit, drained); });
        return;
    }
    logCutOff();
    logEvent(LogLevel::Info, "drained", { { "cut_off", openRequests() } });
    drained();
}

}
