#pragma once

#include <LibPlatform/FetchHook.h>
#include <functional>
#include <string>

namespace Stagepost {

// Client of the platform's list of VMs, which has this HTTP interface:
//   GET /v1/vms?since=VERSION&wait_ms=N
// A call waits up to wait_ms until the list has a version above VERSION.
class VMListClient {
public:
    using Callback = std::function<void(Result<std::string>)>;

    VMListClient(Endpoint list, FetchHook fetch)
        : m_list(std::move(list))
        , m_fetch(std::move(fetch))
    {
    }

    // Passes the response body, which VMList::apply() parses. Error: PlatformDown.
    void fetchChanges(uint64_t sinceVersion, Milliseconds wait, Callback) const;

private:
    Endpoint m_list;
    FetchHook m_fetch;
};

}
