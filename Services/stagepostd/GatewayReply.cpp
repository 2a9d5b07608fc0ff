#include <stagepostd/GatewayReply.h>

#include <array>
#include <cstdio>
#include <stagepostd/RefusalReply.h>

namespace Stagepost {

namespace {

    constexpr unsigned statusUnavailable = 503;
    constexpr unsigned statusBadGateway = 502;
    constexpr unsigned firstServerError = 500;

    std::string secondsOf(Milliseconds duration)
    {
        std::array<char, 32> text {};
        auto const size = std::snprintf(text.data(), text.size(), "%.3f", asSeconds(duration));
        return std::string(text.data(), static_cast<size_t>(size));
    }

}

unsigned gatewayStatusOf(Refusal const& refusal)
{
    auto const status = httpStatusOf(refusal.reason);
    if (refusal.verdict.isNotRun())
        return status >= firstServerError ? statusUnavailable : status;
    return promisesNotRun(status) ? statusBadGateway : status;
}

bool promisesNotRun(unsigned status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

HttpResponse gatewayReply(Refusal const& refusal)
{
    auto reply = refusalReply(refusal);
    reply.status = gatewayStatusOf(refusal);
    reply.headers.remove("Retry-After");
    if (refusal.retryAfter && refusal.verdict.isNotRun())
        reply.headers.add("Retry-After", secondsOf(*refusal.retryAfter));
    return reply;
}

}
