#pragma once

#include <LibBase/Metrics.h>
#include <LibProxy/PortProbe.h>
#include <LibProxy/Timer.h>
#include <LibRouting/LinkFailureDetector.h>
#include <stagepostd/ServiceTable.h>

namespace Stagepost {

// Monitors this daemon's links to the upstreams, and probes upstreams while they are in doubt. When
// lost links are back, forgets what was held against upstreams meanwhile.
class LinkMonitor {
public:
    struct Hooks {
        // Probes whether the upstream's port is open.
        std::function<void(Endpoint const&, PortProbe::Callback)> probe;
        // The links have become suspected, lost, or have come back.
        std::function<void(LinkState)> stateChanged;
        RandomHook random;
    };

    // If disabled, the links always count as up and nothing is probed.
    LinkMonitor(bool isEnabled, EventLoop&, Metrics&, ServiceTable&, Hooks);
    LinkMonitor(LinkMonitor const&) = delete;
    LinkMonitor& operator=(LinkMonitor const&) = delete;

    // Outcomes of attempts to connect to an upstream. They are counted in the metrics also if disabled.
    void connected();
    void connectFailed(UpstreamId);
    void tick();

    bool isLost() const { return m_detector.isLost(); }
    bool wasLostSince(Instant time) const { return m_detector.wasLostSince(time); }
    // Whether a failure at an upstream at the given time was the upstream's own: the links are up if
    // this daemon has reached an upstream since, or knows only one. If that is not known yet, upstreams
    // are probed.
    LinkState stateSince(Instant);
    // Calls back once it is known whether the links or single upstreams are at fault: at once, or after
    // the probes that are under way.
    void whenDecided(std::function<void()>);
    // Calls back with Lost if the links are to blame for a failure that has just happened to a request, and with
    // Up if its upstream is. The callback waits for a connection that is established after the failure, which
    // is probed for at once or within 100 ms; a second at most.
    void judgeFailure(std::function<void(LinkState)>);

private:
    struct PendingFailure {
        Instant failedAt;
        std::function<void(LinkState)> callback;
    };

    void update();
    void judgePendingFailures();
    void probe();
    void finishProbe(UpstreamId, PortState);
    void handleChange(LinkState);

    bool m_isEnabled;
    EventLoop& m_loop;
    Metrics& m_metrics;
    ServiceTable& m_serviceTable;
    Hooks m_hooks;
    LinkFailureDetector m_detector;
    LinkState m_state { LinkState::Up };
    Instant m_lostSince;
    size_t m_openProbes { 0 };
    std::vector<std::function<void()>> m_waiting;
    std::vector<PendingFailure> m_pendingFailures;
    Timer m_timer;
};

}
