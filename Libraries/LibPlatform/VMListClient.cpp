#include <LibPlatform/VMListClient.h>

namespace Stagepost {

namespace {

    constexpr Milliseconds callTimeout { 2000 };

}

void VMListClient::fetchChanges(uint64_t sinceVersion, Milliseconds wait, Callback callback) const
{
    auto target = "/v1/vms?since=" + std::to_string(sinceVersion) + "&wait_ms=" + std::to_string(wait.count());
    m_fetch(m_list, { "GET", std::move(target), {}, {} }, wait + callTimeout, [callback = std::move(callback)](Result<HttpResponse> reply) {
        if (!reply || reply->status != 200)
            callback(Error(ErrorCode::PlatformDown, reply ? "the VM list responded with status " + std::to_string(reply->status) : reply.error().message()));
        else
            callback(std::move(reply->body));
    });
}

}
