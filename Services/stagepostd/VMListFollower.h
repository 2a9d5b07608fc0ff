#pragma once

#include <LibPlatform/VMList.h>
#include <LibPlatform/VMListClient.h>
#include <LibProxy/Timer.h>
#include <functional>

namespace Stagepost {

// Keeps a copy of the platform's list of VMs. While the platform is unreachable, the last known
// list stays in use.
class VMListFollower {
public:
    using ChangedCallback = std::function<void(std::vector<VMEntry> const&)>;

    VMListFollower(EventLoop&, VMListClient, ChangedCallback);
    void start();

    VMList const& list() const { return m_list; }
    bool hasList() const { return m_list.version() > 0; }

private:
    void poll();
    void handleResponse(Result<std::string> const&);

    VMListClient m_client;
    ChangedCallback m_changedCallback;
    VMList m_list;
    Timer m_timer;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
