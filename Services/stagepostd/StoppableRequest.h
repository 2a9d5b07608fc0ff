#pragma once

#include <LibProxy/Exchange.h>
#include <stagepostd/GatewayServices.h>
#include <stagepostd/RoutedRequest.h>

namespace Stagepost {

// What a planned stop means for one request.
class StoppableRequest {
public:
    StoppableRequest(GatewayServices const&, RoutedRequest const&, std::weak_ptr<Exchange> const&);

    // Whether it may be sent to an upstream now, as far as a planned stop is concerned.
    bool maySend() const { return m_services.stop.mayTake(m_work, m_services.loop.now()); }
    // Whether it has failed because the daemon gives its open requests up, which says nothing about the upstream.
    bool isGivenUp(ForwardResult const& result) const { return result.failure && !result.isCallerLost() && m_services.stop.isOver(m_services.loop.now()); }

    // The answer is complete, or has ended before it was; both show how long such requests take.
    void answered() { m_running->answered(m_services.loop.now()); }
    void brokenOff() { m_running->brokenOff(m_services.loop.now()); }

private:
    GatewayServices const& m_services;
    StopAdmission::Work m_work;
    std::unique_ptr<RunningRequests::Entry> m_running;
};

}
