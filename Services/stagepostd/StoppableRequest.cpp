#include <stagepostd/StoppableRequest.h>

namespace Stagepost {

namespace {

    // Answers hardly ever take more than this many times what their route aims at.
    constexpr int objectiveFactor = 4;

    // The objective of a stream is about its first event, and a request that may run only once is rather refused.
    StopAdmission::Work workOf(RoutedRequest const& request)
    {
        auto const& route = *request.route;
        StopAdmission::Work work { workIdOf(request.service, route.name), attemptLimitsOf(request).deadline, {} };
        if (route.kind == RequestKind::Idempotent)
            work.durationIfUnknown = route.latencyObjective * objectiveFactor;
        return work;
    }

}

StoppableRequest::StoppableRequest(GatewayServices const& services, RoutedRequest const& request, std::weak_ptr<Exchange> const& exchange)
    : m_services(services)
    , m_work(workOf(request))
    , m_running(services.stop.requests().add(m_work.id, request.receivedAt, [exchange] {
        if (auto const open = exchange.lock())
            open->stopForward();
    }))
{
}

}
