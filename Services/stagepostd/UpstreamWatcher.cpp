#include <stagepostd/UpstreamWatcher.h>

#include <LibBase/Hex.h>
#include <nlohmann/json.hpp>

namespace Stagepost {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds callTimeout { 1000 };
    constexpr unsigned statusOk = 200;

    std::optional<ChatId> parseChatId(Json const& event)
    {
        if (!event.is_object() || !event.contains("chat") || !event["chat"].is_string())
            return {};
        auto const number = parseHex(event["chat"].get<std::string>());
        return number ? std::optional(ChatId(*number)) : std::nullopt;
    }

    uint64_t numberOrZero(Json const& object, char const* key)
    {
        auto const found = object.find(key);
        return found != object.end() && found->is_number_unsigned() ? found->get<uint64_t>() : 0;
    }

}

UpstreamWatcher::UpstreamWatcher(EventLoop& loop, HttpClient& client, AdmissionController& admission, VMList const& list)
    : m_loop(loop)
    , m_client(client)
    , m_admission(admission)
    , m_vmList(list)
    , m_timer(loop)
{
}

void UpstreamWatcher::start()
{
    m_timer.every(pollInterval, [this] { pollAll(); });
}

void UpstreamWatcher::pollAll()
{
    for (auto const& [id, entry] : m_vmList.entries()) {
        if (entry.role == VMRole::Upstream && m_admission.leaseServer().find(entry.upstreamId()))
            poll(entry);
    }
}

void UpstreamWatcher::poll(VMEntry const& entry)
{
    auto const upstream = entry.upstreamId();
    auto target = "/v1/status?events_from=" + std::to_string(m_nextEventNumbers[upstream]);
    m_client.fetch(entry.endpoint, { "GET", std::move(target), {}, {} }, callTimeout,
        [this, upstream, alive = std::weak_ptr(m_alive)](Result<HttpResponse> const& reply) {
            if (!alive.expired() && reply && reply->status == statusOk)
                handleStatus(upstream, reply->body);
        });
}

void UpstreamWatcher::handleStatus(UpstreamId upstream, std::string const& body)
{
    auto* owner = m_admission.leaseServer().find(upstream);
    auto const status = Json::parse(body, nullptr, false);
    if (!owner || !status.is_object())
        return;
    owner->handleLoadReport(numberOrZero(status, "in_flight"), m_loop.now());
    m_nextEventNumbers[upstream] = numberOrZero(status, "events_next");
    auto const events = status.find("events");
    if (events == status.end() || !events->is_array())
        return;
    for (auto const& event : *events) {
        auto const chat = parseChatId(event);
        if (chat && event.contains("kind"))
            owner->handleCacheEvent(*chat, event["kind"] == "stored", static_cast<uint32_t>(numberOrZero(event, "tokens")));
    }
}

}
