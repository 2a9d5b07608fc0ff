#include <LibPlatform/LogClient.h>

#include <nlohmann/json.hpp>

namespace Stagepost {

namespace {

    using Json = nlohmann::json;

    // A read gets it on top of its own waiting time.
    constexpr Milliseconds callTimeout { 2000 };
    constexpr unsigned statusTooManyRequests = 429;

    std::string recordsPath(std::string const& stream)
    {
        return "/v1/streams/" + stream + "/records";
    }

    Result<Offset> parseAppendReply(Result<HttpResponse> const& reply)
    {
        if (!reply)
            return reply.error();
        if (reply->status == statusTooManyRequests)
            return Error(ErrorCode::LimitReached, "the log rejected an append: too many requests");
        auto const parsed = Json::parse(reply->body, nullptr, false);
        if (reply->status != 200 || !parsed.is_object() || !parsed.contains("offset") || !parsed["offset"].is_number_unsigned())
            return Error(ErrorCode::PlatformDown, "unexpected response of the log to an append, status " + std::to_string(reply->status));
        return Offset(parsed["offset"].get<uint64_t>());
    }

    Result<LogBatch> parseReadReply(Result<HttpResponse> const& reply)
    {
        if (!reply)
            return Error(ErrorCode::PlatformDown, reply.error().message());
        auto const malformed = Error(ErrorCode::PlatformDown, "unexpected response of the log to a read, status " + std::to_string(reply->status));
        auto const parsed = Json::parse(reply->body, nullptr, false);
        if (reply->status != 200 || !parsed.is_object())
            return malformed;
        auto const isNumber = [&](char const* key) { return parsed.contains(key) && parsed[key].is_number_unsigned(); };
        if (!isNumber("first") || !isNumber("next") || !parsed.contains("records") || !parsed["records"].is_array())
            return malformed;
        LogBatch batch;
        batch.first = Offset(parsed["first"].get<uint64_t>());
        batch.next = Offset(parsed["next"].get<uint64_t>());
        if (isNumber("returns"))
            batch.restoreCount = parsed["returns"].get<uint64_t>();
        for (auto const& record : parsed["records"]) {
            if (!record.is_object() || !record.contains("offset") || !record["offset"].is_number_unsigned() || !record.contains("body") || !record["body"].is_string())
                return malformed;
            batch.records.push_back({ Offset(record["offset"].get<uint64_t>()), record["body"].get<std::string>() });
        }
        return batch;
    }

}

void LogClient::append(std::string const& stream, std::string record, AppendCallback callback) const
{
    HttpRequest call { "POST", recordsPath(stream), { { "Content-Type", "application/octet-stream" } }, std::move(record) };
    m_fetch(m_log, std::move(call), callTimeout, [callback = std::move(callback)](Result<HttpResponse> const& reply) {
        callback(parseAppendReply(reply));
    });
}

void LogClient::read(std::string const& stream, Offset from, size_t maxRecords, Milliseconds wait, ReadCallback callback) const
{
    auto target = recordsPath(stream) + "?from=" + std::to_string(from.value()) + "&max=" + std::to_string(maxRecords) + "&wait_ms=" + std::to_string(wait.count());
    m_fetch(m_log, { "GET", std::move(target), {}, {} }, wait + callTimeout, [callback = std::move(callback)](Result<HttpResponse> const& reply) {
        callback(parseReadReply(reply));
    });
}

}
