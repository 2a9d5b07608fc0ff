#include <StandIns/LogStandIn.h>

#include <nlohmann/json.hpp>

namespace Stagepost::StandIns {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds pollInterval { 5 };

    std::string streamName(std::string_view target)
    {
        constexpr std::string_view prefix = "/v1/streams/";
        if (!target.starts_with(prefix))
            return {};
        target.remove_prefix(prefix.size());
        return std::string(target.substr(0, target.find('/')));
    }

}

LogStandIn::LogStandIn(EventLoop& loop)
    : m_server(loop, [this](TcpStream& stream, Request& request) { return handle(stream, request); })
{
}

uint64_t LogStandIn::append(std::string const& name, std::string record)
{
    auto& stream = m_streams[name];
    stream.records.push_back(std::move(record));
    while (stream.records.size() > m_faults.maxRecords) {
        stream.records.pop_front();
        ++stream.firstOffset;
    }
    ++m_appends;
    return stream.nextOffset() - 1;
}

void LogStandIn::applyFaults(std::string const& body)
{
    auto const json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        return;
    m_faults.isDown = json.value("down", m_faults.isDown);
    m_faults.losesReplies = json.value("lose_replies", m_faults.losesReplies);
    m_faults.delay = Milliseconds(json.value("delay_ms", m_faults.delay.count()));
    m_faults.maxRecords = json.value("keep", m_faults.maxRecords);
    if (auto const lost = json.value("lose_last", size_t { 0 }))
        dropLastRecords(lost);
}

void LogStandIn::dropLastRecords(size_t records)
{
    for (auto& [name, stream] : m_streams)
        stream.records.resize(stream.records.size() - std::min(stream.records.size(), records));
    ++m_restores;
}

Net::awaitable<bool> LogStandIn::handle(TcpStream& stream, Request& request)
{
    if (request.target() == "/faults") {
        applyFaults(request.body());
        co_return co_await send(stream, jsonResponse(request, 200, "{}"));
    }
    if (request.target() == "/appends")
        co_return co_await send(stream, jsonResponse(request, 200, std::to_string(m_appends)));
    if (m_faults.isDown)
        co_return false;
    auto const name = streamName(request.target());
    if (name.empty())
        co_return co_await send(stream, jsonResponse(request, 404, "{}"));
    if (request.method() == Http::verb::post)
        co_return co_await handleAppend(stream, request, name);
    co_return co_await handleRead(stream, request, name);
}

Net::awaitable<bool> LogStandIn::handleAppend(TcpStream& stream, Request& request, std::string const& name)
{
    bool const losesReply = m_faults.losesReplies;
    if (m_faults.delay.count())
        co_await sleepFor(m_faults.delay);
    auto const offset = append(name, request.body());
    if (losesReply)
        co_return false;
    co_return co_await send(stream, jsonResponse(request, 200, "{\"offset\":" + std::to_string(offset) + '}'));
}

std::string LogStandIn::recordsFrom(std::string const& name, uint64_t from, uint64_t maxRecords)
{
    auto const& log = m_streams[name];
    Json records = Json::array();
    for (auto offset = std::max(from, log.firstOffset); offset < log.nextOffset() && records.size() < maxRecords; ++offset)
        records.push_back({ { "offset", offset }, { "body", log.records[offset - log.firstOffset] } });
    return Json { { "first", log.firstOffset }, { "next", log.nextOffset() }, { "records", std::move(records) }, { "returns", m_restores } }.dump();
}

Net::awaitable<bool> LogStandIn::handleRead(TcpStream& stream, Request& request, std::string const& name)
{
    auto const from = queryNumber(request, "from", 0);
    auto const maxRecords = queryNumber(request, "max", 100);
    auto const restores = m_restores;
    auto const end = std::chrono::steady_clock::now() + Milliseconds(queryNumber(request, "wait_ms", 0));
    while (m_streams[name].nextOffset() <= from && std::chrono::steady_clock::now() < end && !m_faults.isDown && m_restores == restores)
        co_await sleepFor(pollInterval);
    if (m_faults.isDown)
        co_return false;
    co_return co_await send(stream, jsonResponse(request, 200, recordsFrom(name, from, maxRecords)));
}

}
