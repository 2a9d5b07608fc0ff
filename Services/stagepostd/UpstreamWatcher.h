#pragma once

#include <LibPlatform/VMList.h>
#include <LibProxy/HttpClient.h>
#include <LibProxy/Timer.h>
#include <LibRouting/AdmissionController.h>
#include <unordered_map>

namespace Stagepost {

// Reads the load and the cache events of the upstreams that this daemon owns.
// Both are corrections of what it counts itself, since they come late and with gaps.
//   GET /v1/status?events_from=N
//   {"in_flight":7,"events_next":12,"events":[{"chat":"<16 hex digits>","kind":"stored","tokens":800}]}
class UpstreamWatcher {
public:
    static constexpr Milliseconds interval { 2000 };

    UpstreamWatcher(EventLoop&, HttpClient&, AdmissionController&, VMList const&);
    void start();

private:
    void askAll();
    void ask(VMEntry const&);
    void take(UpstreamId, std::string const& body);

    EventLoop& m_loop;
    HttpClient& m_client;
    AdmissionController& m_node;
    VMList const& m_list;
    Timer m_timer;
    std::unordered_map<UpstreamId, uint64_t> m_nextEvent;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
