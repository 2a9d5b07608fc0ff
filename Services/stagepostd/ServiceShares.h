#pragma once

#include <LibBase/RefusalReason.h>
#include <LibProxy/ClientLimits.h>
#include <map>
#include <memory>
#include <string>

namespace Stagepost {

// Bounds what the requests of one service take of the callers' connections and memory, so that a service whose upstreams
// are silent leaves room for others.
class ServiceShares {
public:
    explicit ServiceShares(ClientLimits const&);

    // Counts a request with a body of that many bytes until the result is destroyed. Returns null if the service has its share.
    std::shared_ptr<void const> enter(std::string const& service, size_t bodySize);
    // What callers of a service that has its share are told.
    static Refusal refusal();

private:
    struct Usage {
        size_t requests { 0 };
        uint64_t bodyBytes { 0 };
    };
    // Shared with the requests, which may outlive this object.
    using Usages = std::map<std::string, Usage>;

    size_t m_maxRequests;
    uint64_t m_maxBodyBytes;
    std::shared_ptr<Usages> m_usages { std::make_shared<Usages>() };
};

}
