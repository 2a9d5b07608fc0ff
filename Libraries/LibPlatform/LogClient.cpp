#include <LibPlatform/LogClient.h>

#include <nlohmann/json.hpp>

namespace Stagepost {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds callTimeout { 2000 };
    constexpr unsigned statusTooMany = 429;

    std::string targetOf(std::string const& stream)
    {
        return "/v1/streams/" + stream + "/records";
    }

    Result<Offset> appendedOffset(Result<HttpReply> const& reply)
    {
        if (!reply)
            return reply.error();
        if (reply->status == statusTooMany)
            return Error(ErrorCode::LimitReached, "the log takes no more appends now");
        auto const parsed = Json::parse(reply->body, nullptr, false);
        if (reply->status != 200 || !parsed.is_object() || !parsed.contains("offset") || !parsed["offset"].is_number_unsigned())
            return Error(ErrorCode::PlatformDown, "the log answered " + std::to_string(reply->status));
        return Offset(parsed["offset"].get<uint64_t>());
    }

    Result<LogBatch> batchOf(Result<HttpReply> const& reply)
    {
        if (!reply)
            return Error(ErrorCode::PlatformDown, reply.error().message());
        auto const malformed = Error(ErrorCode::PlatformDown, "the log's answer to a read is not understood");
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
            batch.returns = parsed["returns"].get<uint64_t>();
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
    HttpCall call { "POST", targetOf(stream), { { "Content-Type", "application/octet-stream" } }, std::move(record) };
    m_fetch(m_log, std::move(call), callTimeout, [callback = std::move(callback)](Result<HttpReply> const& reply) {
        callback(appendedOffset(reply));
    });
}

void LogClient::read(std::string const& stream, Offset from, size_t most, Milliseconds wait, ReadCallback callback) const
{
    auto target = targetOf(stream) + "?from=" + std::to_string(from.value()) + "&max=" + std::to_string(most) + "&wait_ms=" + std::to_string(wait.count());
    m_fetch(m_log, { "GET", std::move(target), {}, {} }, wait + callTimeout, [callback = std::move(callback)](Result<HttpReply> const& reply) {
        callback(batchOf(reply));
    });
}

}
