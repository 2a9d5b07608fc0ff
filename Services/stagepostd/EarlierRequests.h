#pragma once

#include <LibBase/Ids.h>
#include <functional>
#include <map>
#include <utility>

namespace Stagepost {

// The requests in flight that began before this daemon had joined, so that no owner counts them yet.
class EarlierRequests {
public:
    void started(UpstreamId upstream, HallId hall)
    {
        auto& requests = m_requests[upstream];
        requests.hall = hall;
        ++requests.count;
    }

    void ended(UpstreamId upstream)
    {
        auto const found = m_requests.find(upstream);
        if (found != m_requests.end() && !--found->second.count)
            m_requests.erase(found);
    }

    // Calls the function once for each request, and forgets them.
    void takeAll(std::function<void(UpstreamId, HallId)> const& count)
    {
        for (auto const& [upstream, requests] : std::exchange(m_requests, {})) {
            for (size_t request = 0; request < requests.count; ++request)
                count(upstream, requests.hall);
        }
    }

private:
    struct Requests {
        HallId hall;
        size_t count { 0 };
    };

    std::map<UpstreamId, Requests> m_requests;
};

}
