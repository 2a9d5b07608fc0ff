#include <LibRollout/ExposureLimit.h>

#include <LibBase/Hash.h>
#include <algorithm>
#include <cmath>

namespace Stagepost {

namespace {

    // In a trial, the part of the requests without a context and of the contexts that are selected, as a
    // multiple of the pace. Requests of a few contexts are unevenly distributed; with twice the pace, a
    // daemon seldom has to take others.
    constexpr double selectedPerPace = 2;
    // How far a trial may fall behind its pace, in requests, before it takes contexts that were not
    // selected, and before it takes requests of any route.
    constexpr double maxBacklogOfSelected = 1;
    constexpr double maxBacklogOfRoutes = 1.5;
    // A route is rare if it has less than this part of what it would have if all had equally many requests.
    constexpr double rarePart = 0.5;
    // The part of a rare route's requests that may be sent to the new version. The rest is needed for the
    // comparison with the old one.
    constexpr double rareRouteShare = 0.5;
    // The part of the allowance that is divided by traffic; the rest is divided equally over the routes.
    constexpr double shareByTraffic = 0.25;
    // How far the Ramp phases may fall behind their share, in requests, before they take contexts that were
    // not selected.
    constexpr double maxBacklogInRamp = 1;

    // A number in [0, 1) from a hash.
    double asFraction(uint64_t hash)
    {
        constexpr unsigned unusedBits = 11;
        constexpr double scale = 1.0 / (uint64_t { 1 } << 53);
        return static_cast<double>(hash >> unusedBits) * scale;
    }

    bool isRamp(RolloutPhase phase)
    {
        return phase == RolloutPhase::FirstRamp || phase == RolloutPhase::SecondRamp || phase == RolloutPhase::LastRamp;
    }

}

ExposureLimit::ExposureLimit(RolloutSchedule const& schedule, RolloutId order, RandomHook const& random, uint64_t requestsOfSlack)
    : m_schedule(schedule)
    , m_order(order)
    , m_requestsOfSlack(requestsOfSlack)
    , m_seed(random())
{
}

void ExposureLimit::requested(RouteId route)
{
    ++m_requests;
    ++m_routes[route].requests;
}

void ExposureLimit::sentToNew(RouteId route)
{
    ++m_sendsToNew;
    ++m_routes[route].sendsToNew;
}

void ExposureLimit::answered()
{
    ++m_answers;
}

bool ExposureLimit::allows(RolloutPhase phase) const
{
    if (!m_schedule.isEnabled() || phase == RolloutPhase::RolledBack)
        return false;
    if (phase == RolloutPhase::Moved || phase == RolloutPhase::Done)
        return true;
    auto const share = m_schedule.shareIn(phase);
    if (isRamp(phase))
        return phase == m_phase && static_cast<double>(m_sendsToNew - m_sendsBeforePhase + 1) <= rampAllowance(share);
    return static_cast<double>(m_sendsToNew + 1) <= trialAllowance();
}

double ExposureLimit::trialAllowance() const
{
    return std::floor(m_schedule.share * static_cast<double>(m_answers)) + static_cast<double>(m_requestsOfSlack);
}

bool ExposureLimit::shouldTry(RolloutPhase phase, RouteId route, std::optional<uint64_t> context)
{
    if (phase != m_phase)
        enter(phase);
    if (!allows(phase))
        return false;
    if (phase == RolloutPhase::Trial)
        return shouldTryInTrial(route, context);
    return !isRamp(phase) || shouldTryInRamp(m_schedule.shareIn(phase), context);
}

// The request that is being decided belongs to the new phase.
void ExposureLimit::enter(RolloutPhase phase)
{
    m_phase = phase;
    m_requestsBeforePhase = m_requests ? m_requests - 1 : 0;
    m_sendsBeforePhase = m_sendsToNew;
}

// The number of sends that are due. It begins between 0 and 1, so that all daemons together are at the
// pace from the start, although each sends whole requests only. The slack is spent first.
double ExposureLimit::pacedSends() const
{
    auto const ofShare = pacedSendsOfShare();
    return ofShare + std::min((m_schedule.slackPace - 1) * ofShare, static_cast<double>(m_requestsOfSlack)) + asFraction(m_seed);
}

bool ExposureLimit::isSpendingSlack() const
{
    return (m_schedule.slackPace - 1) * pacedSendsOfShare() < static_cast<double>(m_requestsOfSlack);
}

// The route's part of so many sends.
double ExposureLimit::quota(RouteSends const& route, double sends) const
{
    auto const byTraffic = static_cast<double>(route.requests) / static_cast<double>(m_requests);
    auto const equally = 1 / static_cast<double>(m_routes.size());
    return sends * (shareByTraffic * byTraffic + (1 - shareByTraffic) * equally);
}

bool ExposureLimit::isRare(RouteSends const& route) const
{
    return static_cast<double>(route.requests * m_routes.size()) < rarePart * static_cast<double>(m_requests);
}

// Where the request is in the order in which requests are selected, in [0, 1). It is the same on all
// daemons for requests with the same context.
double ExposureLimit::positionOf(std::optional<uint64_t> context) const
{
    return asFraction(context ? mixHashes(*context, m_order.value()) : mixHashes(m_seed, m_requests));
}

bool ExposureLimit::shouldTryInTrial(RouteId id, std::optional<uint64_t> context) const
{
    auto const known = m_routes.find(id);
    if (known == m_routes.end())
        return false;
    auto const& route = known->second;
    auto const sends = static_cast<double>(m_sendsToNew);
    auto const routeSends = static_cast<double>(route.sendsToNew);
    auto const due = pacedSends();
    auto const position = positionOf(context);
    // A request of a rare route may take the send that is due next, as others would have taken it by the
    // time that another such request arrives.
    if (isRare(route))
        return sends <= due && routeSends < quota(route, due + 1) && position < rareRouteShare;
    if (sends + 1 > due)
        return false;
    if (sends + 1 + maxBacklogOfRoutes <= due)
        return true;
    bool const isSelected = position < selectedPerPace * m_schedule.trialPace * m_schedule.share;
    return routeSends < quota(route, due) && (isSelected || sends + 1 + maxBacklogOfSelected <= due);
}

// The requests that the new version may have got in this phase. The random part lets some daemons start
// with the first request of the phase and others later.
double ExposureLimit::rampAllowance(double share) const
{
    return share * static_cast<double>(m_requests - m_requestsBeforePhase) + asFraction(m_seed);
}

// A context that is selected in one phase is selected in the next ones, too, so that each is moved once.
bool ExposureLimit::shouldTryInRamp(double share, std::optional<uint64_t> context) const
{
    auto const sends = static_cast<double>(m_sendsToNew - m_sendsBeforePhase);
    return positionOf(context) < share || sends + 1 + maxBacklogInRamp <= rampAllowance(share);
}

}
