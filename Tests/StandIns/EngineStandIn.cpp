#include <StandIns/EngineStandIn.h>

#include <nlohmann/json.hpp>

namespace Stagepost::StandIns {

namespace {

    using Json = nlohmann::json;

    constexpr size_t maxEvents = 1000;

    struct ScopedIncrement {
        explicit ScopedIncrement(size_t& counter)
            : count(counter)
        {
            ++count;
        }
        ~ScopedIncrement() { --count; }
        ScopedIncrement(ScopedIncrement const&) = delete;
        ScopedIncrement& operator=(ScopedIncrement const&) = delete;
        size_t& count;
    };

    std::string cacheEvent(std::string const& chat, char const* kind)
    {
        return Json { { "chat", chat }, { "kind", kind }, { "tokens", 100 } }.dump();
    }

}

EngineStandIn::EngineStandIn(EventLoop& loop, Options options)
    : m_options(std::move(options))
    , m_server(loop, [this](TcpStream& stream, Request& request) { return handle(stream, request); })
{
}

bool EngineStandIn::touchContext(std::string const& chat)
{
    auto const found = m_recentChatPositions.find(chat);
    bool const isHeld = found != m_recentChatPositions.end();
    if (isHeld)
        m_recentChats.erase(found->second);
    else
        m_events.push_back(cacheEvent(chat, "stored"));
    m_recentChats.push_front(chat);
    m_recentChatPositions[chat] = m_recentChats.begin();
    if (m_recentChats.size() > m_options.maxChats) {
        m_events.push_back(cacheEvent(m_recentChats.back(), "evicted"));
        m_recentChatPositions.erase(m_recentChats.back());
        m_recentChats.pop_back();
    }
    while (m_events.size() > maxEvents) {
        m_events.pop_front();
        ++m_firstEventIndex;
    }
    return isHeld;
}

std::string EngineStandIn::status(uint64_t eventsFrom) const
{
    Json events = Json::array();
    auto const next = m_firstEventIndex + m_events.size();
    for (auto index = std::max(eventsFrom, m_firstEventIndex); index < next; ++index)
        events.push_back(Json::parse(m_events[index - m_firstEventIndex]));
    return Json { { "in_flight", m_inFlight }, { "events_next", next }, { "events", std::move(events) } }.dump();
}

Net::awaitable<bool> EngineStandIn::handle(TcpStream& stream, Request& request)
{
    if (request.target() == "/faults") {
        auto const json = Json::parse(request.body(), nullptr, false);
        auto const mode = json.is_object() ? json.value("mode", "") : "";
        m_cutAfter = mode == "cut" ? 3 : 0;
        m_refusesRequests = mode == "refuse";
        co_return co_await send(stream, jsonResponse(request, 200, "{}"));
    }
    if (request.target().starts_with("/v1/status"))
        co_return co_await send(stream, jsonResponse(request, 200, status(queryNumber(request, "events_from", 0))));
    if (request.target() == "/v1/chat/completions")
        co_return co_await complete(stream, request);
    co_return co_await send(stream, jsonResponse(request, 404, "{}"));
}

Net::awaitable<bool> EngineStandIn::complete(TcpStream& stream, Request& request)
{
    if (m_refusesRequests)
        co_return false;
    auto const body = Json::parse(request.body(), nullptr, false);
    if (!body.is_object())
        co_return co_await send(stream, jsonResponse(request, 400, "{}"));
    ScopedIncrement const inFlight(m_inFlight);
    ++m_served;
    bool const isReused = touchContext(std::string(request["Stagepost-Chat"]));
    m_reusedContexts += isReused;
    co_return co_await this->stream(stream, request, body.value("max_tokens", m_options.defaultTokens), isReused);
}

Net::awaitable<bool> EngineStandIn::stream(TcpStream& stream, Request const& request, size_t tokens, bool isReused)
{
    Http::response<Http::empty_body> head;
    head.version(11);
    head.result(200);
    head.set(Http::field::content_type, "text/event-stream");
    head.set("X-Engine", m_options.name);
    head.set("X-Context", isReused ? "reused" : "new");
    if (auto const id = request.find("X-Request-Id"); id != request.end())
        head.set("X-Request-Id", id->value());
    head.keep_alive(true);
    head.chunked(true);
    Http::response_serializer<Http::empty_body> serializer(head);
    auto [headError, headSize] = co_await Http::async_write_header(stream, serializer, useTuple);
    if (headError)
        co_return false;
    Net::steady_timer timer(co_await Net::this_coro::executor);
    auto nextTokenAt = std::chrono::steady_clock::now();
    for (size_t index = 0; index < tokens; ++index) {
        nextTokenAt += m_options.tokenInterval;
        timer.expires_at(nextTokenAt);
        if (m_options.tokenInterval.count())
            co_await timer.async_wait(useTuple);
        if (m_cutAfter && index >= m_cutAfter)
            co_return false;
        auto const event = "id: " + std::to_string(index) + "\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word" + std::to_string(index) + " \"}}]}\n\n";
        auto [error, size] = co_await Net::async_write(stream, Http::make_chunk(Net::buffer(event)), useTuple);
        if (error) {
            ++m_cancelled;
            co_return false;
        }
    }
    constexpr std::string_view done = "data: [DONE]\n\n";
    auto [doneError, doneSize] = co_await Net::async_write(stream, Http::make_chunk(Net::buffer(done)), useTuple);
    auto [lastChunkError, lastChunkSize] = co_await Net::async_write(stream, Http::make_chunk_last(), useTuple);
    co_return !doneError && !lastChunkError;
}

}
