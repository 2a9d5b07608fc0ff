#include <stagepostd/ServerDrain.h>

#include <LibBase/Log.h>

namespace Stagepost {

namespace {

    constexpr Milliseconds pollInterval { 20 };
    constexpr size_t maxLoggedRequests { 100 };

}

ServerDrain::ServerDrain(EventLoop& loop, HttpServer& server, std::string requestIdField, Hooks hooks)
    : m_loop(loop)
    , m_server(server)
    , m_requestIdField(std::move(requestIdField))
    , m_hooks(std::move(hooks))
    , m_timer(loop)
{
}

void ServerDrain::start(StopTimes const& times, std::function<void()> drained)
{
    auto const now = m_loop.now();
    logEvent(LogLevel::Info, "draining", { { "open", openRequests() }, { "accept_ms", times.accept.count() }, { "end_ms", times.end.count() } });
    m_timer.once(times.accept, [this, end = now + times.end, limit = now + times.limit, drained = std::move(drained)] {
        m_server.stopListening();
        waitForOpenRequests(end, [this, limit, drained] { giveUp(limit, drained); });
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

void ServerDrain::waitForOpenRequests(Instant until, std::function<void()> const& then)
{
    if (openRequests() == 0 || m_loop.now() >= until)
        then();
    else
        m_timer.once(pollInterval, [this, until, then] { waitForOpenRequests(until, then); });
}

void ServerDrain::giveUp(Instant limit, std::function<void()> const& drained)
{
    logCutOff();
    logEvent(LogLevel::Info, "drained", { { "cut_off", openRequests() } });
    m_hooks.giveUp();
    waitForOpenRequests(limit, drained);
}

}
