#pragma once

#include <memory>
#include <optional>
#include <stagepostd/GatewayPeers.h>
#include <utility>

namespace Stagepost {

// An upstream at which owners count a request as in flight. The count is given back when this object ends or is
// assigned another place.
class InFlightPlace {
public:
    InFlightPlace() = default;
    // The place is not given back after the token has expired, as the gateway and its peers have ended then.
    InFlightPlace(GatewayPeers& peers, std::weak_ptr<void const> token, std::optional<UpstreamId> upstream)
        : m_peers(&peers)
        , m_token(std::move(token))
        , m_upstream(upstream)
    {
    }
    ~InFlightPlace() { release(); }
    InFlightPlace(InFlightPlace const&) = delete;
    InFlightPlace& operator=(InFlightPlace const&) = delete;
    InFlightPlace(InFlightPlace&& other) noexcept { swap(other); }
    InFlightPlace& operator=(InFlightPlace&& other) noexcept
    {
        release();
        swap(other);
        return *this;
    }

    // Stops counting the request: it has ended, or was not sent.
    void release()
    {
        auto const upstream = std::exchange(m_upstream, {});
        if (upstream && !m_token.expired())
            m_peers->requestEnded(*upstream);
    }

private:
    void swap(InFlightPlace& other)
    {
        std::swap(m_peers, other.m_peers);
        std::swap(m_token, other.m_token);
        std::swap(m_upstream, other.m_upstream);
    }

    GatewayPeers* m_peers { nullptr };
    std::weak_ptr<void const> m_token;
    std::optional<UpstreamId> m_upstream;
};

}
