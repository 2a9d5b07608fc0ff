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
#include <stagepostd/RequestHandler.h>
#include <stagepostd/ServerDrain.h>
#include <stagepostd/SettingsFollower.h>
#include <stagepostd/SettingsPolicies.h>
#include <stagepostd/StopAdmission.h>
#include <stagepostd/UpstreamWatcher.h>
#include <stagepostd/VMListFollower.h>

namespace Stagepost {

// The daemon of one entry VM. Connects the components that serve callers, other daemons and the
// operator's tool.
class Daemon {
public:
    Daemon(EventLoop&, Options, RandomHook);
    ~Daemon();
    Daemon(Daemon const&) = delete;
    Daemon& operator=(Daemon const&) = delete;

    // Binds the sockets and starts to follow the platform's list of VMs and its log. Error: Unreachable.
    Result<void> start();

    // Reports the daemon as unready at once and accepts requests for the grace period. Then
    // stops listening, and calls back when no request is open or the drain limit has passed.
    void drain(std::function<void()> drained);

    bool isReady() const;
    Endpoint const& callerEndpoint() const { return m_callerEndpoint; }
    Metrics& metrics() { return m_metrics; }

private:
    // See HttpServer::HeadHook.
    std::optional<HttpResponse> checkHead(HttpRequest const&);
    void handleRequest(std::shared_ptr<Exchange> const&);
    bool handleLocally(Exchange&);
    void serveRequest(std::shared_ptr<Exchange> const&);
    void startRequest(std::shared_ptr<Exchange> const&, CallerRequest, RequestHandler::FinishedCallback);
    HttpResponse issueTickets(HttpRequest const&);
    std::optional<Refusal> checkOperator(HttpRequest const&) const;
    HttpResponse handleOperatorRequest(HttpRequest const&);
    HttpResponse renderMetrics();
    DaemonStatus status() const;
    void setDraining(bool);
    HttpResponse refuse(Refusal const&);
    void handleSettingsApplied();
    void handleVMListChanged(std::vector<VMEntry> const&);
    void updateView();
    void handlePeerMessage(PeerMessageKind, VMId from, std::string_view body);
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
    DatagramSocket m_peerSocket;
    PeerChannel m_peerChannel;
    Membership m_membership;
    AdmissionController m_admission;
    RetryPolicy m_retryPolicy;
    VMListFollower m_vmListFollower;
    SettingsFollower m_settingsFollower;
    SettingsPolicies m_policies;
    PeerSettings m_peerSettings;
    UpstreamWatcher m_upstreamWatcher;
    StopAdmission m_stop;
    OnceGateway m_onceGateway;
    OperatorServer m_operatorServer;
    std::shared_ptr<ClientMemory> m_clientMemory;
    HttpServer m_server;
    Endpoint m_callerEndpoint;
    Timer m_tickTimer;
    ServerDrain m_drain;
    bool m_isViewStale { false };
    double m_shareOfFleet { 1 };
    bool m_isDraining { false };
};

}
