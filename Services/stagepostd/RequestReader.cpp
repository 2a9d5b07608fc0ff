#include <stagepostd/RequestReader.h>

#include <LibBase/Hash.h>
#include <LibBase/Hex.h>
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <stagepostd/JsonValueCounter.h>

namespace Stagepost {

namespace {

    using Json = nlohmann::json;

    constexpr std::string_view chatPath = "/v1/chat/completions";
    constexpr std::string_view servicePrefix = "/services/";
    constexpr std::string_view bearerPrefix = "Bearer ";
    // RFC 9218: the default urgency is u=3, and lower numbers are more urgent.
    constexpr int defaultUrgency = 3;
    constexpr size_t estimatedBytesPerToken = 4;
    constexpr size_t maxIdempotencyKeyLength = 255;
    // A value takes up to some hundred bytes while the body is read, however short its text is.
    constexpr size_t maxJsonValues = 262144;

    Refusal refuse(RefusalReason reason, std::string detail)
    {
        return { reason, NotRunProof::nothingSent(), std::move(detail), {} };
    }

    bool isChatPath(HttpRequest const& call)
    {
        return call.path() == chatPath;
    }

    std::optional<Refusal> checkPath(HttpRequest const& call)
    {
        if (isChatPath(call) || call.target.starts_with(servicePrefix))
            return {};
        return refuse(RefusalReason::NoSuchPath, "paths are /v1/chat/completions and /services/NAME/...");
    }

    int parseUrgency(std::string_view priority)
    {
        auto const found = priority.find("u=");
        if (found == std::string_view::npos || found + 2 >= priority.size())
            return defaultUrgency;
        char const digit = priority[found + 2];
        return digit >= '0' && digit <= '7' ? digit - '0' : defaultUrgency;
    }

    std::optional<UpstreamId> parseHint(std::string_view text)
    {
        auto const number = parseHex(text);
        return number ? std::optional(UpstreamId(*number)) : std::nullopt;
    }

    // Identifies a chat that has no id by a hash of its messages up to and including the first of
    // the user, which later requests of the chat repeat.
    std::string hashOfFirstMessages(Json const& messages)
    {
        uint64_t hash = 0;
        for (auto const& message : messages) {
            hash = mixHashes(hash, hashOf(message.dump(-1, ' ', false, Json::error_handler_t::replace)));
            if (message.is_object() && message.value("role", Json()) == "user")
                break;
        }
        return toHex(hash);
    }

    uint32_t estimateContextTokens(Json const& messages)
    {
        size_t bytes = 0;
        for (size_t index = 0; index + 1 < messages.size(); ++index)
            bytes += messages[index].dump(-1, ' ', false, Json::error_handler_t::replace).size();
        return static_cast<uint32_t>(bytes / estimatedBytesPerToken);
    }

    std::optional<Refusal> readDeadline(HttpRequest const& call, CallerRequest& request, Instant now)
    {
        auto const text = call.headers.find("Stagepost-Deadline-Ms");
        request.placement.deadline = now + request.pool.queueWait;
        if (text.empty())
            return {};
        int64_t value = 0;
        auto const [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (code != std::errc() || end != text.data() + text.size() || value <= 0)
            return refuse(RefusalReason::BadRequest, "Stagepost-Deadline-Ms is not a number of milliseconds above 0");
        request.placement.deadline = now + Milliseconds(value);
        return {};
    }

    std::optional<Refusal> readCommonHeaders(HttpRequest const& call, CallerRequest& request, Instant now)
    {
        request.idempotencyKey = call.headers.find("Idempotency-Key");
        request.ticket = call.headers.find("Stagepost-Ticket");
        if (request.idempotencyKey.size() > maxIdempotencyKeyLength)
            return refuse(RefusalReason::BadRequest, "Idempotency-Key is longer than 255 characters");
        if (!request.idempotencyKey.empty() && !request.ticket.empty())
            return refuse(RefusalReason::BadRequest, "a request carries an Idempotency-Key or a Stagepost-Ticket, not both");
        if (auto refusal = readDeadline(call, request, now))
            return refusal;
        auto const urgency = parseUrgency(call.headers.find("Priority"));
        bool const isUrgent = urgency < defaultUrgency && request.organisation.urgent;
        request.placement.priority = isUrgent ? Priority::Urgent : Priority::Bulk;
        request.placement.organisation = request.organisation.id;
        request.placement.pool = request.pool.id;
        request.placement.hint = parseHint(call.headers.find("Stagepost-Hint"));
        return {};
    }

    // Builds the request for the upstream. The caller's token is removed.
    void buildUpstreamCall(HttpRequest const& call, std::string target, CallerRequest& request)
    {
        request.upstreamCall = call;
        request.upstreamCall.target = std::move(target);
        auto& headers = request.upstreamCall.headers;
        headers.removeHopByHop();
        for (auto const* name : { "Authorization", "Host", "Stagepost-Ticket", "Stagepost-Hint", "Stagepost-Deadline-Ms" })
            headers.remove(name);
        headers.set("Priority", request.placement.priority == Priority::Urgent ? "u=1" : "u=5");
        headers.set("Stagepost-Organisation", request.organisation.name);
        if (request.isChat)
            headers.set("Stagepost-Chat", toHex(request.placement.chat.value()));
    }

    std::variant<CallerRequest, Refusal> readChat(HttpRequest const& call, FleetSettings const& settings, CallerRequest request, Instant now)
    {
        if (call.method != "POST")
            return refuse(RefusalReason::BadRequest, "a chat completion is a POST");
        if (!hasAtMostJsonValues(call.body.bytes(), maxJsonValues))
            return refuse(RefusalReason::BadJson, "the body is no JSON text, or has more than " + std::to_string(maxJsonValues) + " values");
        auto const body = Json::parse(call.body.bytes(), nullptr, false);
        if (!body.is_object())
            return refuse(RefusalReason::BadJson, "the body is not a JSON object");
        if (!body.contains("model") || !body["model"].is_string() || !body.contains("messages") || !body["messages"].is_array())
            return refuse(RefusalReason::BadJson, "the body has no text 'model' or no list 'messages'");
        auto const pool = settings.poolByModel.find(body["model"].get<std::string>());
        if (pool == settings.poolByModel.end())
            return refuse(RefusalReason::NoSuchModel, "no pool serves this model");
        request.pool = settings.pools.at(pool->second);
        request.isChat = true;
        request.isRepeatable = true;
        auto const& messages = body["messages"];
        std::string const chatName(call.headers.find("Stagepost-Chat"));
        request.placement.chat = chatIdOf(chatName.empty() ? hashOfFirstMessages(messages) : chatName, request.organisation.id, request.pool.id);
        request.placement.contextTokens = estimateContextTokens(messages);
        if (auto refusal = readCommonHeaders(call, request, now))
            return *refusal;
        buildUpstreamCall(call, call.target, request);
        return request;
    }

    std::variant<CallerRequest, Refusal> readService(HttpRequest const& call, FleetSettings const& settings, CallerRequest request, Instant now)
    {
        auto const rest = std::string_view(call.target).substr(servicePrefix.size());
        auto const nameEnd = std::min({ rest.find('/'), rest.find('?'), rest.size() });
        auto const path = "services." + std::string(rest.substr(0, nameEnd));
        auto const pool = settings.pools.find(PoolId::fromName(path));
        if (pool == settings.pools.end())
            return refuse(RefusalReason::NoSuchService, "no such service");
        request.pool = pool->second;
        request.isRepeatable = call.method == "GET" || call.method == "HEAD";
        // Upstreams of a service keep no context, so each call gets its own chat id, which spreads the calls evenly.
        request.placement.chat = ChatId(mixHashes(static_cast<uint64_t>(now.time_since_epoch().count()), hashOf(call.target)));
        if (auto refusal = readCommonHeaders(call, request, now))
            return *refusal;
        std::string target(rest.substr(nameEnd));
        if (target.empty() || target.front() != '/')
            target.insert(0, "/");
        buildUpstreamCall(call, std::move(target), request);
        return request;
    }

}

ChatId chatIdOf(std::string_view name, OrganisationId organisation, PoolId pool)
{
    return ChatId(mixHashes(mixHashes(hashOf(name), organisation.value()), pool.value()));
}

std::variant<OrganisationSettings, Refusal> authenticate(HttpRequest const& call, FleetSettings const& settings)
{
    auto const field = call.headers.find("Authorization");
    if (!field.starts_with(bearerPrefix))
        return refuse(RefusalReason::MissingToken, "the request has no bearer token");
    auto const found = settings.organisationByTokenHash.find(hashOfToken(field.substr(bearerPrefix.size())));
    if (found == settings.organisationByTokenHash.end())
        return refuse(RefusalReason::WrongToken, "the bearer token is of no organisation");
    return settings.organisations.at(found->second);
}

std::optional<Refusal> checkRequestHead(HttpRequest const& call, FleetSettings const& settings)
{
    if (auto refusal = checkPath(call))
        return refusal;
    auto const organisation = authenticate(call, settings);
    auto const* refusal = std::get_if<Refusal>(&organisation);
    return refusal ? std::optional(*refusal) : std::nullopt;
}

std::variant<CallerRequest, Refusal> readRequest(HttpRequest const& call, FleetSettings const& settings, Instant now)
{
    if (auto refusal = checkPath(call))
        return *refusal;
    auto organisation = authenticate(call, settings);
    if (auto* refusal = std::get_if<Refusal>(&organisation))
        return *refusal;
    CallerRequest request;
    request.organisation = std::get<OrganisationSettings>(organisation);
    if (isChatPath(call))
        return readChat(call, settings, std::move(request), now);
    return readService(call, settings, std::move(request), now);
}

}
