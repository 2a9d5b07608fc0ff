#include <stagepostd/RoutedRequest.h>

#include <LibBase/Hash.h>
#include <algorithm>

namespace Stagepost {

AttemptLimits attemptLimitsOf(RoutedRequest const& request)
{
    auto const& route = *request.route;
    AttemptLimits limits;
    limits.isRepeatable = route.isRepeatable();
    limits.isStream = route.kind == RequestKind::Stream;
    limits.maxSends = request.detour ? std::min<size_t>(route.maxAttempts, request.detour->sendsLeft) : route.maxAttempts;
    limits.objective = route.latencyObjective;
    limits.gapObjective = route.gapObjective;
    limits.deadline = request.receivedAt + std::min(route.timeout, request.call.timeLeft.value_or(route.timeout));
    return limits;
}

StreamId streamIdOf(RoutedRequest const& request)
{
    auto const& call = request.call;
    bool const takesUpStream = call.lastEvent && !call.firstAttempt.empty();
    return StreamId(mixHashes(hashOf(takesUpStream ? call.firstAttempt : call.id), mixHashes(hashOf(request.service), hashOf(request.organisation))));
}

std::shared_ptr<EventProgress> eventProgressOf(RoutedRequest const& request)
{
    if (request.route->kind != RequestKind::Stream)
        return nullptr;
    auto progress = std::make_shared<EventProgress>();
    progress->lastIdOfClient = request.call.lastEvent;
    // An upstream may begin the stream again from its first event.
    if (request.route->isRepeatable())
        progress->lastForwardedId = request.call.lastEvent;
    return progress;
}

}
