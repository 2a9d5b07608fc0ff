#include <StandIns/ServiceStandIn.h>

#include <nlohmann/json.hpp>

namespace Stagepost::StandIns {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds unsolicitedResponseDelay { 30 };
    constexpr Milliseconds hangDuration { 600000 };

    ServiceStandIn::Mode modeFromName(std::string const& name)
    {
        if (name == "drop-after-run")
            return ServiceStandIn::Mode::DropAfterExecution;
        if (name == "surplus")
            return ServiceStandIn::Mode::UnsolicitedResponse;
        if (name == "hang")
            return ServiceStandIn::Mode::Hang;
        if (name == "half")
            return ServiceStandIn::Mode::TruncatedResponse;
        return ServiceStandIn::Mode::Normal;
    }

}

ServiceStandIn::ServiceStandIn(EventLoop& loop)
    : m_server(loop, [this](TcpStream& stream, Request& request) { return handle(stream, request); })
{
}

Net::awaitable<bool> ServiceStandIn::handle(TcpStream& stream, Request& request)
{
    if (request.target() == "/faults") {
        auto const json = Json::parse(request.body(), nullptr, false);
        if (json.is_object()) {
            m_mode = modeFromName(json.value("mode", ""));
            m_delay = Milliseconds(json.value("delay_ms", 0));
            m_echoesRequestId = json.value("echoes", m_echoesRequestId);
        }
        co_return co_await send(stream, jsonResponse(request, 200, "{}"));
    }
    if (request.target() == "/runs")
        co_return co_await send(stream, jsonResponse(request, 200, Json(m_executions).dump()));
    if (request.target().starts_with("/v1/status"))
        co_return co_await send(stream, jsonResponse(request, 200, R"({"in_flight":0,"events_next":0,"events":[]})"));
    co_return co_await execute(stream, request);
}

Net::awaitable<bool> ServiceStandIn::execute(TcpStream& stream, Request& request)
{
    auto const mode = m_mode;
    if (mode == Mode::Hang) {
        co_await sleepFor(hangDuration);
        co_return false;
    }
    std::string const name(request["X-Call"]);
    auto const count = ++m_executions[name];
    if (m_delay.count())
        co_await sleepFor(m_delay);
    if (mode == Mode::DropAfterExecution)
        co_return false;
    auto response = jsonResponse(request, 200, Json { { "call", name }, { "run", count }, { "target", std::string(request.target()) } }.dump());
    if (!m_echoesRequestId)
        response.erase("X-Request-Id");
    if (mode == Mode::TruncatedResponse) {
        response.content_length(response.body().size() * 2);
        response.keep_alive(false);
        co_await send(stream, std::move(response));
        co_return false;
    }
    if (mode != Mode::UnsolicitedResponse)
        co_return co_await send(stream, std::move(response));
    co_await send(stream, response);
    co_await sleepFor(unsolicitedResponseDelay);
    response.body() = R"({"call":"somebody else's"})";
    response.prepare_payload();
    co_return co_await send(stream, std::move(response));
}

}
