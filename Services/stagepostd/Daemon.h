#pragma once

#include <LibBase/Authenticator.h>
#include <LibBase/Metrics.h>
#include <LibMembership/Membership.h>
#include <LibProxy/HttpClient.h>
#include <LibProxy/HttpServer.h>
#include <LibProxy/Timer.h>
#include <LibRouting/AdmissionController.h>
#include <LibRouting/RetryPolicy.h>
#include <stagepostd/OnceGateway.h>
#include <stagepostd/OperatorServer.h>
#include <stagepostd/Options.h>
#include <stagepostd/PeerChannel.h>
#include <stagepostd/PeerSettings.h>
#include <stagepostd/RequestFlow.h>
#include <stagepostd/ServerDrain.h>
#include <stagepostd/SettingsFollower.h>
#include <stagepostd/SettingsPolicies.h>
#include <stagepostd/UpstreamWatcher.h>
#include <stagepostd/VMListFollower.h>

namespace Stagepost {

// The daemon of one entry VM, put together from the libraries.
class Daemon {
public:
    Daemon(EventLoop&, Options, RandomHook);
    ~Daemon();
    Daemon(Daemon const&) = delete;
    Daemon& operator=(Daemon const&) = delete;

    // Binds its sockets and begins to follow the platform. Error: Unreachable.
    Result<void> start();

    // Turns unready at once, goes on serving for the grace period, then takes no
    // more and calls back when every request in progress has its answer.
    void drain(std::function<void()> drained);

    bool isReady() const;
    Endpoint const& callerEndpoint() const { return m_callerEndpoint; }
    Metrics& metrics() { return m_metrics; }

private:
    void handle(std::shared_ptr<Exchange> const&);
    bool handleLocally(Exchange&);
    void serve(std::shared_ptr<Exchange> const&);
    void run(std::shared_ptr<Exchange> const&, CallerRequest, RequestFlow::Ended);
    HttpResponse handleTickets(HttpRequest const&);
    HttpResponse handleOperator(HttpRequest const&);
    HttpResponse renderMetrics();
    DaemonStatus status() const;
    void setDraining(bool);
    HttpResponse refuse(Refusal const&);
    void settingsApplied();
    void listChanged(std::vector<VMEntry> const&);
    void updateView();
    void takeFromPeer(PeerMessageKind, VMId from, std::string_view body);
    void tick();
    void sendToPeer(VMId, PeerMessageKind, std::string const& body);

    EventLoop& m_loop;
    Options m_options;
    RandomHook m_random;
    VMId m_self;
    Incarnation m_incarnation;
    Metrics m_metrics;
    Authenticator m_authenticator;
    HttpClient m_client;
    PeerChannel m_peers;
    Membership m_membership;
    AdmissionController m_node;
    RetryPolicy m_retries;
    VMListFollower m_vms;
    SettingsFollower m_settings;
    SettingsPolicies m_policies;
    PeerSettings m_peerSettings;
    UpstreamWatcher m_watcher;
    OnceGateway m_once;
    OperatorServer m_operator;
    HttpServer m_server;
    Endpoint m_callerEndpoint;
    Timer m_ticker;
    ServerDrain m_drain;
    bool m_isViewStale { false };
    double m_shareOfFleet { 1 };
    bool m_isDraining { false };
    bool m_isStopping { false };
};

}
