#pragma once

#include <LibPlatform/VMList.h>
#include <LibProxy/HttpClient.h>
#include <LibProxy/Timer.h>
#include <LibRouting/AdmissionController.h>
#include <unordered_map>

namespace Stagepost {

// Polls the load and the cache events of the upstreams that this daemon owns. They arrive late and
// with gaps, so they only correct the counts that the daemon keeps itself.
//   GET /v1/status?events_from=N
//   {"in_flight":7,"events_next":12,"events":[{"chat":"<16 hex digits>","kind":"stored","tokens":800}]}
class UpstreamWatcher {
public:
    static constexpr Milliseconds pollInterval { 2000 };

    UpstreamWatcher(EventLoop&, HttpClient&, AdmissionController&, VMList const&);
    void start();

private:
    void pollAll();
    void poll(VMEntry const&);
    void handleStatus(UpstreamId, std::string const& body);

    EventLoop& m_loop;
    HttpClient& m_client;
    AdmissionController& m_admission;
    VMList const& m_vmList;
    Timer m_timer;
    std::unordered_map<UpstreamId, uint64_t> m_nextEventNumbers;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
