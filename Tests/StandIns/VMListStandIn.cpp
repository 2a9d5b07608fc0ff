#include <StandIns/VMListStandIn.h>

#include <nlohmann/json.hpp>

namespace Stagepost::StandIns {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds pollInterval { 5 };

}

VMListStandIn::VMListStandIn(EventLoop& loop)
    : m_server(loop, [this](TcpStream& stream, Request& request) { return handle(stream, request); })
{
}

void VMListStandIn::updateVMs(std::string const& json)
{
    auto const entries = Json::parse(json, nullptr, false);
    if (!entries.is_array())
        return;
    ++m_version;
    for (auto const& entry : entries)
        m_entries[entry.value("name", "")] = { m_version, entry.dump() };
}

std::string VMListStandIn::changesSince(uint64_t version) const
{
    Json entries = Json::array();
    for (auto const& [name, entry] : m_entries) {
        if (entry.version > version)
            entries.push_back(Json::parse(entry.json));
    }
    return Json { { "version", m_version }, { "vms", std::move(entries) } }.dump();
}

Net::awaitable<bool> VMListStandIn::handle(TcpStream& stream, Request& request)
{
    if (request.target() == "/faults") {
        auto const json = Json::parse(request.body(), nullptr, false);
        m_isDown = json.is_object() && json.value("down", false);
        co_return co_await send(stream, jsonResponse(request, 200, "{}"));
    }
    if (m_isDown)
        co_return false;
    if (request.method() == Http::verb::post) {
        updateVMs(request.body());
        co_return co_await send(stream, jsonResponse(request, 200, "{}"));
    }
    auto const since = queryNumber(request, "since", 0);
    auto const end = std::chrono::steady_clock::now() + Milliseconds(queryNumber(request, "wait_ms", 0));
    while (m_version <= since && std::chrono::steady_clock::now() < end && !m_isDown)
        co_await sleepFor(pollInterval);
    if (m_isDown)
        co_return false;
    co_return co_await send(stream, jsonResponse(request, 200, changesSince(since)));
}

}
