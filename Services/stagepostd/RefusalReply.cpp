#include <stagepostd/RefusalReply.h>

#include <nlohmann/json.hpp>

namespace Stagepost {

HttpResponse refusalReply(Refusal const& refusal)
{
    nlohmann::json error {
        { "reason", nameOf(refusal.reason) },
        { "verdict", nameOf(refusal.verdict) },
        { "message", refusal.detail },
    };
    if (refusal.retryAfter)
        error["retry_after_ms"] = refusal.retryAfter->count();
    auto const body = nlohmann::json { { "error", error } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    auto reply = makeJsonResponse(httpStatusOf(refusal.reason), body + '\n');
    reply.headers.add(RefusalFields::reason, nameOf(refusal.reason));
    reply.headers.add(RefusalFields::verdict, nameOf(refusal.verdict));
    if (refusal.retryAfter) {
        auto const seconds = std::chrono::ceil<Seconds>(*refusal.retryAfter).count();
        reply.headers.add("Retry-After", std::to_string(std::max<int64_t>(1, seconds)));
    }
    return reply;
}

}
