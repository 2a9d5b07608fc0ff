#include <LibRouting/ServicePlacement.h>

#include <LibRouting/Rendezvous.h>
#include <algorithm>
#include <cmath>

namespace Stagepost {

namespace {

    // An upstream is avoided if its failure share exceeds the lowest one of the service by more
    // than this, since some services always fail a share of their requests.
    constexpr double tolerableFailureExcess = 0.25;
    // Weight of the latest answer in the mean answer time.
    constexpr double latestAnswerWeight = 0.2;
    // Time constant with which an idle upstream's mean answer time loses weight.
    constexpr double answerTimeDecaySeconds = 5;
    // Cost of sending to another hall, as a fraction of the typical answer time: enough to prefer
    // the own hall among equal upstreams, but not to queue there.
    constexpr double otherHallCost = 0.4;
    // Prompt tokens per unit of wait; the wait for a single token is about a microsecond, the
    // resolution of the Microseconds type.
    constexpr uint64_t tokensPerWaitUnit = 1000;
    // Number of upstreams whose owners are asked about a request. A context in a twentieth of all
    // requests fills seven out of 160 upstreams.
    constexpr size_t ownersAsked = 8;
    // How many times as many are asked at most while a service has upstreams of several versions.
    constexpr size_t maxOwnersFactor = 2;
    // Slots reserved for requests of priority 0 while requests have to be refused.
    constexpr unsigned slotsReservedForUrgent = 1;
    // How long a daemon sends nothing to a brittle upstream that has rejected its request, besides single
    // trials: an upstream tolerates few rejections in a second of all daemons together.
    constexpr Microseconds brittleRejectionPause { 1000000 };
    // Caches the reachability of halls, since a hall can have hundreds of upstreams.
    class HallReachCache {
    public:
        HallReachCache(SilenceDetector const& silence, Instant now)
            : m_silenceDetector(silence)
            , m_now(now)
        {
        }

        Reach of(HallId hall)
        {
            auto const [entry, isNew] = m_reaches.try_emplace(hall, Reach::Reachable);
            if (isNew)
                entry->second = m_silenceDetector.reach(hall, m_now);
            return entry->second;
        }

    private:
        SilenceDetector const& m_silenceDetector;
        Instant m_now;
        std::map<HallId, Reach> m_reaches;
    };

    bool contains(std::vector<UpstreamId> const& ids, UpstreamId id)
    {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }

    // By then, a process that takes the place of one that has ended has written its record.
    constexpr Milliseconds processReplacementTime { 500 };
    // An older list of upstreams is not about to be proven again.
    constexpr Milliseconds maxListAge { 2000 };

    // Selects the offered upstream that comes first in a context's rendezvous order.
    class FirstInRendezvousOrder {
    public:
        explicit FirstInRendezvousOrder(uint64_t context)
            : m_context(context)
        {
        }

        void offer(UpstreamId id)
        {
            auto const rank = rendezvousRank(m_context, id.value());
            if (m_id && rank <= m_rank)
                return;
            m_id = id;
            m_rank = rank;
        }

        std::optional<UpstreamId> id() const { return m_id; }

    private:
        uint64_t m_context;
        std::optional<UpstreamId> m_id;
        double m_rank { 0 };
    };

}

void ServicePlacement::putUpstream(ServiceUpstream const& properties)
{
    m_upstreams[properties.id].properties = properties;
}

void ServicePlacement::setColdUntil(UpstreamId id, std::optional<Instant> until)
{
    if (auto const found = m_upstreams.find(id); found != m_upstreams.end())
        found->second.coldUntil = until;
}

void ServicePlacement::forgetUnreachable()
{
    for (auto& [id, upstream] : m_upstreams) {
        if (!upstream.health.isClosed())
            upstream.health = {};
    }
}

bool ServicePlacement::isCold(Upstream const& upstream, Instant now) const
{
    return m_coldStartLimit.exists() && upstream.coldUntil && now < *upstream.coldUntil;
}

std::optional<ColdStartNotice> ServicePlacement::coldNotice(Upstream const& upstream, Instant now) const
{
    if (!isCold(upstream, now))
        return {};
    return ColdStartNotice { m_coldStartLimit, *upstream.coldUntil - now };
}

size_t ServicePlacement::coldCount(Instant now) const
{
    return static_cast<size_t>(std::count_if(m_upstreams.begin(), m_upstreams.end(), [&](auto const& entry) { return isCold(entry.second, now); }));
}

std::vector<ServicePlacement::Upstream*> ServicePlacement::warm(std::vector<Upstream*> const& all, Instant now) const
{
    std::vector<Upstream*> result;
    std::copy_if(all.begin(), all.end(), std::back_inserter(result), [&](auto const* upstream) { return !isCold(*upstream, now); });
    return result;
}

// A cold upstream that didn't answer gets trials only through its owner: otherwise every daemon
// would send one.
std::vector<ServicePlacement::Upstream*> ServicePlacement::availableCold(Request const& request, std::vector<Upstream*> const& all, Instant now) const
{
    std::vector<Upstream*> result;
    std::copy_if(all.begin(), all.end(), std::back_inserter(result), [&](auto const* upstream) {
        return isCold(*upstream, now) && (upstream->health.isClosed() || upstream->health.isTrialDue(now, request.isRepeatable));
    });
    return result;
}

// Draws one of the warm and the available cold upstreams at random and returns it if it is cold.
// If none is warm, returns all cold ones, starting with a random one.
std::vector<ServicePlacement::Upstream*> ServicePlacement::randomCold(Request const& request, std::vector<Upstream*> const& reached, Instant now)
{
    auto cold = availableCold(request, reached, now);
    if (cold.empty())
        return {};
    std::rotate(cold.begin(), cold.begin() + static_cast<ptrdiff_t>(randomBelow(m_random, cold.size())), cold.end());
    auto const others = warm(reached, now).size();
    if (!others)
        return cold;
    if (randomBelow(m_random, cold.size() + others) >= cold.size())
        return {};
    return { cold.front() };
}

void ServicePlacement::started(UpstreamId id)
{
    if (auto const found = m_upstreams.find(id); found != m_upstreams.end())
        found->second.load.started();
}

void ServicePlacement::reported(UpstreamId id, UpstreamLoadReport const& report, Instant now)
{
    if (auto const found = m_upstreams.find(id); found != m_upstreams.end()) {
        found->second.load.reported(report, m_load.hold(), now);
        found->second.brittle.reported(report, now);
    }
}

void ServicePlacement::brittlenessAnnounced(UpstreamId id, bool isBrittle, Instant now)
{
    auto const found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    if (isBrittle)
        found->second.brittle.announced(now);
    else
        found->second.brittle.revoked();
}

bool ServicePlacement::isBrittle(Instant now) const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [now](auto const& entry) { return entry.second.brittle.isActive(now); });
}

bool ServicePlacement::mayHaveCrashedUnderLoad(UpstreamId id, Instant now) const
{
    auto const found = m_upstreams.find(id);
    return found != m_upstreams.end() && isBrittle(now) && found->second.brittle.mayHaveRejected(now);
}

bool ServicePlacement::isWithinBrittleLimit(Upstream const& upstream, Instant now) const
{
    auto const load = std::max(static_cast<double>(upstream.load.own()), upstream.load.expected(m_load.hold(), now));
    return load < static_cast<double>(upstream.brittle.limit(upstream.properties.slots, now));
}

void ServicePlacement::backoffRequested(UpstreamId id, Microseconds duration, Instant now)
{
    if (auto const found = m_upstreams.find(id); found != m_upstreams.end())
        found->second.backoff.requested(duration, now);
}

Microseconds ServicePlacement::remainingBackoff(UpstreamId id, Instant now) const
{
    auto const found = m_upstreams.find(id);
    return found == m_upstreams.end() ? Microseconds(0) : found->second.backoff.remaining(now);
}

size_t ServicePlacement::backingOffCount(Instant now) const
{
    return static_cast<size_t>(std::count_if(m_upstreams.begin(), m_upstreams.end(), [now](auto const& entry) { return entry.second.backoff.isActive(now); }));
}

void ServicePlacement::updateOthersInFlight(std::map<UpstreamId, size_t> const& counts, Microseconds age, Instant now)
{
    m_load.countsReceived(age, now);
    for (auto& [id, upstream] : m_upstreams) {
        auto const found = counts.find(id);
        upstream.load.othersCounted(found == counts.end() ? 0 : found->second, now - age, m_load.hold(), now);
    }
    adjustShares(now);
}

void ServicePlacement::adjustShares(Instant now)
{
    std::vector<CountedLoad> staying;
    std::vector<CountedLoad> leaving;
    OtherVersionLoads otherVersions;
    for (auto& [id, upstream] : m_upstreams) {
        upstream.hasServed |= isServing(upstream) && upstream.load.counted() > 0;
        CountedLoad const load { upstream.load.counted(), upstream.load.mean(now) };
        if (upstream.properties.isLeaving)
            leaving.push_back(load);
        else if (upstream.properties.role == UpstreamRole::Serving)
            staying.push_back(load);
        else
            (upstream.properties.role == UpstreamRole::Candidate ? otherVersions.candidates : otherVersions.excluded).push_back(load);
    }
    m_load.updateLoads(staying, leaving, otherVersions);
    auto const averagingPeriod = LoadEstimate::averagingPeriod(m_load.hold());
    for (auto& [id, upstream] : m_upstreams) {
        auto const load = m_load.adjustedLoad({ upstream.load.counted(), upstream.load.mean(now) });
        upstream.share.adjust(load, m_load.target(upstream.properties.slots), averagingPeriod, now);
    }
}

ServiceOccupancy ServicePlacement::occupancy() const
{
    double load = 0;
    double slots = 0;
    for (auto const& [id, upstream] : m_upstreams) {
        if (!isServing(upstream))
            continue;
        load += upstream.load.counted();
        slots += static_cast<double>(upstream.properties.slots);
    }
    return { slots > 0 ? load / slots : 0, m_load.hold(), m_load.areQueuesKnown() };
}

std::vector<std::pair<UpstreamId, size_t>> ServicePlacement::ownInFlight() const
{
    std::vector<std::pair<UpstreamId, size_t>> result;
    for (auto const& [id, upstream] : m_upstreams) {
        if (upstream.load.own())
            result.emplace_back(id, upstream.load.own());
    }
    return result;
}

void ServicePlacement::finished(UpstreamId id, SendOutcome outcome, Microseconds took, Microseconds held, Instant now)
{
    auto const found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    auto& upstream = found->second;
    if (isBrittle(now) && !isWithinBrittleLimit(upstream, now))
        upstream.brittle.filled(now);
    upstream.load.finished();
    recordWait(outcome, took, held);
    switch (outcome) {
    case SendOutcome::Succeeded:
        upstream.health.succeeded(now);
        break;
    case SendOutcome::Failed:
        upstream.health.answeredWithFailure(now);
        break;
    case SendOutcome::Refused:
        upstream.health.answeredWithFailure(now);
        if (isBrittle(now)) {
            upstream.brittle.rejected(now);
            upstream.backoff.requested(brittleRejectionPause, now);
        }
        return;
    case SendOutcome::NoUsableAnswer:
        upstream.health.failedToAnswer(now);
        return;
    case SendOutcome::ConnectFailed:
        // If the whole hall is silent, the failure says nothing about this upstream.
        if (m_silenceDetector.reach(upstream.properties.hall, now) == Reach::Reachable)
            upstream.health.failedToConnect(now);
        else
            upstream.health.cancelTrial();
        return;
    case SendOutcome::Unknown:
        upstream.health.cancelTrial();
        return;
    }
    upstream.meanAnswerSeconds = upstream.meanAnswerSeconds == 0 ? asSeconds(took) : std::lerp(upstream.meanAnswerSeconds, asSeconds(took), latestAnswerWeight);
    upstream.lastAnswerAt = now;
}

WaitBounds ServicePlacement::waitBounds(uint64_t promptTokens) const
{
    auto const thousands = static_cast<int64_t>((promptTokens + tokensPerWaitUnit - 1) / tokensPerWaitUnit);
    return { m_waits.bound(), m_waitsPerTokens.bound() * thousands };
}

// For a short prompt, the wait is dominated by other things than reading the prompt.
void ServicePlacement::recordFirstByteWait(uint64_t promptTokens, Microseconds took)
{
    if (promptTokens >= tokensPerWaitUnit)
        m_waitsPerTokens.add(Microseconds(took.count() * static_cast<int64_t>(tokensPerWaitUnit) / static_cast<int64_t>(promptTokens)));
}

// An answer that was given up after the upper bound of waits would have taken even longer, so its
// time is a lower bound that still raises the estimate.
void ServicePlacement::recordWait(SendOutcome outcome, Microseconds took, Microseconds held)
{
    if (outcome == SendOutcome::Succeeded) {
        m_load.requestEnded(held);
        m_waits.add(took);
    } else if (outcome == SendOutcome::NoUsableAnswer && held > m_waits.bound()) {
        m_waits.add(held);
    }
}

bool ServicePlacement::isServing(Upstream const& upstream)
{
    return !upstream.properties.isLeaving && upstream.properties.role == UpstreamRole::Serving;
}

bool ServicePlacement::takesRequests(Upstream const& upstream, UpstreamRole role, Instant now)
{
    return !upstream.properties.isLeaving && upstream.properties.role == role && !upstream.backoff.isActive(now);
}

// Few candidates take requests, so their own mean is no measure: if they all were overloaded, none
// would exceed it.
bool ServicePlacement::isWithinCandidateLimit(Upstream const& upstream, Instant now) const
{
    return upstream.load.expected(m_load.hold(), now) <= m_load.contextLoadLimit(m_load.mean(), upstream.properties.slots);
}

size_t ServicePlacement::sizeForRetry(std::vector<UpstreamId> const& failed, Instant now, UpstreamRole role, std::optional<VersionId> version) const
{
    return static_cast<size_t>(std::count_if(m_upstreams.begin(), m_upstreams.end(), [&](auto const& entry) {
        return contains(failed, entry.first) || (takesRequests(entry.second, role, now) && matchesVersion(entry.second, version));
    }));
}

bool ServicePlacement::matchesVersion(Upstream const& upstream, std::optional<VersionId> version)
{
    return !version || upstream.properties.version == *version;
}

// Another version may read contexts only while it takes the place of the one that has made them.
bool ServicePlacement::mayShareContexts(Upstream const& source, Upstream const& chosen, std::optional<VersionId> version)
{
    bool const isReplacing = source.properties.role != chosen.properties.role;
    return source.properties.version == chosen.properties.version || (!version && isReplacing);
}

std::vector<ServicePlacement::Upstream*> ServicePlacement::available(Request const& request, Instant now)
{
    std::vector<Upstream*> result;
    for (auto& [id, upstream] : m_upstreams) {
        if (!contains(request.excluded, id) && takesRequests(upstream, request.role, now) && matchesVersion(upstream, request.version))
            result.push_back(&upstream);
    }
    std::vector<Upstream*> proven;
    std::copy_if(result.begin(), result.end(), std::back_inserter(proven), [&](auto const* upstream) { return isVersionProven(*upstream, request, now); });
    // A stream that begins has to go somewhere.
    return proven.empty() && !request.version ? result : proven;
}

// While no list is proven, connections that end for other reasons would keep all upstreams out.
bool ServicePlacement::isVersionProven(Upstream const& upstream, Request const& request, Instant now)
{
    if (!request.versionsProvenAt || !upstream.processEndedAt || now - *request.versionsProvenAt > maxListAge)
        return true;
    return *upstream.processEndedAt + processReplacementTime <= *request.versionsProvenAt;
}

void ServicePlacement::processMayHaveEnded(UpstreamId id, Instant now)
{
    if (auto const found = m_upstreams.find(id); found != m_upstreams.end())
        found->second.processEndedAt = now;
}

// Returns the upstream whose trial has been due for longest. A cold one gets trials only through
// its owner.
ServicePlacement::Upstream* ServicePlacement::backingOffForTrial(Request const& request, Instant now)
{
    Upstream* result = nullptr;
    for (auto& [id, upstream] : m_upstreams) {
        bool const mayBeTried = !upstream.properties.isLeaving && upstream.properties.role == request.role && upstream.backoff.isTrialDue(now) && upstream.health.isClosed() && !isCold(upstream, now);
        if (!mayBeTried || contains(request.excluded, id) || !matchesVersion(upstream, request.version))
            continue;
        if (!result || upstream.backoff.nextTrialAt() < result->backoff.nextTrialAt())
            result = &upstream;
    }
    return result;
}

// Returns the upstreams outside silent halls. If all halls are silent, this daemon itself may be
// isolated or have been suspended, so all upstreams are returned.
std::vector<ServicePlacement::Upstream*> ServicePlacement::reachable(std::vector<Upstream*> const& all, Instant now) const
{
    HallReachCache halls(m_silenceDetector, now);
    std::vector<Upstream*> result;
    std::copy_if(all.begin(), all.end(), std::back_inserter(result), [&](auto const* upstream) { return halls.of(upstream->properties.hall) != Reach::Silent; });
    return result.empty() ? all : result;
}

// Returns the healthy upstreams among those with a closed breaker, or among all if no breaker is
// closed, since the network may be at fault then.
std::vector<ServicePlacement::Upstream*> ServicePlacement::answering(std::vector<Upstream*> const& usable, Instant now) const
{
    std::vector<Upstream*> result;
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(result), [](auto const* upstream) { return upstream->health.isClosed(); });
    return healthy(result.empty() ? usable : result, now);
}

// Returns an upstream whose breaker pause is over, so that this request can be its trial. A request
// that has already failed isn't used as a trial if any upstream answers: with many upstreams down,
// it could go from one to the next.
ServicePlacement::Upstream* ServicePlacement::trialFor(Request const& request, std::vector<Upstream*> const& usable, Instant now) const
{
    bool const doesAnyAnswer = std::any_of(usable.begin(), usable.end(), [](auto const* upstream) { return upstream->health.isClosed(); });
    if (!request.excluded.empty() && doesAnyAnswer)
        return nullptr;
    auto const found = std::find_if(usable.begin(), usable.end(), [&](auto const* upstream) { return upstream->health.isTrialDue(now, request.isRepeatable); });
    return found == usable.end() ? nullptr : *found;
}

// Avoiding upstreams must not leave a request without one: if there are no others, the avoided ones
// are used, as they aren't known to be cold.
std::vector<ServicePlacement::Upstream*> ServicePlacement::notAvoided(Request const& request, std::vector<Upstream*> const& all)
{
    auto result = all;
    std::erase_if(result, [&](auto const* upstream) { return contains(request.avoided, upstream->properties.id); });
    return result.empty() ? all : result;
}

std::vector<ServicePlacement::Upstream*> ServicePlacement::candidates(Request const& request, Instant now)
{
    auto const usable = notAvoided(request, warm(reachable(available(request, now), now), now));
    auto* trial = trialFor(request, usable, now);
    if (trial && trial->health.allows(now, request.isRepeatable))
        return { trial };
    auto result = answering(usable, now);
    if (request.role == UpstreamRole::Candidate)
        std::erase_if(result, [&](auto const* upstream) { return !isWithinCandidateLimit(*upstream, now); });
    if (isBrittle(now))
        std::erase_if(result, [&](auto const* upstream) { return !isWithinBrittleLimit(*upstream, now); });
    return result;
}

// Returns the upstreams whose failure share is tolerable, but all if those are fewer than half: then
// the service itself is at fault, and the remaining upstreams would be overloaded.
std::vector<ServicePlacement::Upstream*> ServicePlacement::healthy(std::vector<Upstream*> const& all, Instant now) const
{
    double best = 1;
    for (auto const* upstream : all)
        best = std::min(best, upstream->health.failureShare(now));
    std::vector<Upstream*> result;
    std::copy_if(all.begin(), all.end(), std::back_inserter(result), [&](auto const* upstream) {
        return upstream->health.failureShare(now) <= best + tolerableFailureExcess;
    });
    return result.size() * 2 < all.size() ? all : result;
}

std::optional<ServicePlacement::Choice> ServicePlacement::choose(Request const& request, Instant now)
{
    auto const usable = candidates(request, now);
    if (usable.empty()) {
        auto* resting = backingOffForTrial(request, now);
        if (!resting)
            return {};
        resting->backoff.trialStarted();
        return makeChoice(request, resting->properties.id, { PlacementRule::Resting, m_load.countsAge(), m_load.hold(), 0 }, now);
    }
    auto const rule = request.context ? ruleForContexts() : PlacementRule::Wait;
    auto const upstream = request.context ? chooseByContext(request, rule, usable, now) : chooseByWait(usable, now)->properties.id;
    return makeChoice(request, upstream, { rule, m_load.countsAge(), m_load.hold(), 0 }, now);
}

ServicePlacement::Choice ServicePlacement::makeChoice(Request const& request, UpstreamId chosen, PlacementReason reason, Instant now) const
{
    Choice choice { chosen, {}, false, reason };
    if (request.context)
        choice.contextSource = contextSource(request, choice.upstream, now);
    auto const& upstream = m_upstreams.at(choice.upstream);
    choice.needsNewConnection = !upstream.health.isClosed() || m_silenceDetector.isSilent(choice.upstream, now) || m_silenceDetector.reach(upstream.properties.hall, now) != Reach::Reachable;
    return choice;
}

// All daemons prefer the first upstream in the context's rendezvous order, so if another one is
// chosen, the first one probably holds the context. If the chosen one is first but new, its successor
// was first before. Leaving upstreams take no requests but still provide their contexts. An upstream
// that this daemon can't reach is excluded, since the chosen one probably can't reach it either and
// would wait in vain.
//
// While the service moves to another version, the contexts are at the upstreams that served before:
// upstreams that have never served are the last resort, and those that no longer serve come first.
std::optional<UpstreamId> ServicePlacement::contextSource(Request const& request, UpstreamId chosen, Instant now) const
{
    HallReachCache halls(m_silenceDetector, now);
    FirstInRendezvousOrder firstFormer(*request.context);
    FirstInRendezvousOrder firstServing(*request.context);
    FirstInRendezvousOrder firstOther(*request.context);
    auto const& target = m_upstreams.at(chosen);
    for (auto const& [id, upstream] : m_upstreams) {
        if (id == chosen || !mayShareContexts(upstream, target, request.version) || !canProvideContext(upstream, halls.of(upstream.properties.hall), now))
            continue;
        if (upstream.properties.role == UpstreamRole::Serving)
            firstServing.offer(id);
        else
            (upstream.hasServed ? firstFormer : firstOther).offer(id);
    }
    if (firstFormer.id())
        return firstFormer.id();
    return firstServing.id() ? firstServing.id() : firstOther.id();
}

std::optional<UpstreamId> ServicePlacement::firstUsableSource(std::vector<UpstreamId> const& holders, UpstreamId chosen, Instant now, std::optional<VersionId> streamVersion) const
{
    auto const target = m_upstreams.find(chosen);
    if (target == m_upstreams.end())
        return {};
    auto const found = std::find_if(holders.begin(), holders.end(), [&](UpstreamId id) {
        auto const known = m_upstreams.find(id);
        return id != chosen && known != m_upstreams.end() && mayShareContexts(known->second, target->second, streamVersion) && canProvideContext(known->second, m_silenceDetector.reach(known->second.properties.hall, now), now);
    });
    return found == holders.end() ? std::nullopt : std::optional(*found);
}

// Whether a context can be fetched from the upstream.
bool ServicePlacement::canProvideContext(Upstream const& upstream, Reach hall, Instant now) const
{
    return upstream.health.isClosed() && hall == Reach::Reachable && !m_silenceDetector.isSilent(upstream.properties.id, now);
}

PlacementRule ServicePlacement::ruleForContexts() const
{
    return m_load.areCountsFresh() ? PlacementRule::Count : PlacementRule::Share;
}

UpstreamId ServicePlacement::chooseByContext(Request const& request, PlacementRule rule, std::vector<Upstream*> const& usable, Instant now) const
{
    auto const mean = meanLoad(request, usable, now);
    return rule == PlacementRule::Share ? chooseByShare(usable, *request.context, mean, now) : chooseByCount(usable, *request.context, mean, now);
}

double ServicePlacement::meanLoad(Request const& request, std::vector<Upstream*> const& usable, Instant now) const
{
    if (request.role == UpstreamRole::Candidate || request.version)
        return m_load.mean();
    double sum = 0;
    for (auto const* upstream : usable)
        sum += upstream->load.expected(m_load.hold(), now);
    return sum / static_cast<double>(usable.size());
}

std::vector<PermitExchange::Candidate> ServicePlacement::candidatesForOwners(Request const& request, Instant now)
{
    auto const reached = reachable(available(request, now), now);
    if (!request.context && isBrittle(now))
        return ownerCandidates(request, orderedByWait(answering(warm(reached, now), now), now), now);
    if (!request.context)
        return ownerCandidates(request, randomCold(request, reached, now), now);
    auto const others = warm(reached, now);
    // A trial doesn't wait for an owner: if that one didn't answer, the trial would never be made.
    if (reached.empty() || trialFor(request, others, now))
        return {};
    auto usable = others.empty() ? others : answering(others, now);
    auto const cold = availableCold(request, reached, now);
    usable.insert(usable.end(), cold.begin(), cold.end());
    auto const count = std::min(ownersToAsk(), usable.size());
    std::partial_sort(usable.begin(), usable.begin() + static_cast<ptrdiff_t>(count), usable.end(), [context = *request.context](auto const* one, auto const* other) {
        return rendezvousRank(context, one->properties.id.value()) > rendezvousRank(context, other->properties.id.value());
    });
    usable.resize(count);
    return ownerCandidates(request, usable, now);
}

// The upstream with the shortest expected wait comes first, and the others in random order: all daemons would
// ask for the same second one.
std::vector<ServicePlacement::Upstream*> ServicePlacement::orderedByWait(std::vector<Upstream*> upstreams, Instant now)
{
    if (upstreams.empty())
        return upstreams;
    auto* const first = chooseByWait(upstreams, now);
    std::erase(upstreams, first);
    for (size_t index = 0; index < upstreams.size(); ++index)
        std::swap(upstreams[index], upstreams[index + randomBelow(m_random, upstreams.size() - index)]);
    upstreams.insert(upstreams.begin(), first);
    return upstreams;
}

// Idle upstreams of another version halve the mean that the load limit follows, so a context in high demand
// fills more upstreams: with a context in a tenth of the requests, up to 2.5 % of the arrivals of five
// seconds exceeded the users' limit with 8 owners, and none with 16.
size_t ServicePlacement::ownersToAsk() const
{
    size_t serving = 0;
    size_t others = 0;
    for (auto const& [id, upstream] : m_upstreams) {
        if (!upstream.properties.isLeaving)
            ++(isServing(upstream) ? serving : others);
    }
    return serving ? ownersAsked * std::min(serving + others, maxOwnersFactor * serving) / serving : ownersAsked;
}

std::vector<PermitExchange::Candidate> ServicePlacement::ownerCandidates(Request const& request, std::vector<Upstream*> const& upstreams, Instant now) const
{
    auto const most = maxLoadFor(request);
    // A request that finds no room at a candidate can still be served elsewhere, so it is not granted
    // up to the hard limit.
    auto const hardLimit = request.role == UpstreamRole::Candidate ? std::nullopt : most;
    std::vector<PermitExchange::Candidate> result;
    bool const areBrittle = isBrittle(now);
    auto const ownerCount = ownersToAsk();
    result.reserve(std::min(ownerCount, upstreams.size()));
    for (auto const* upstream : upstreams) {
        if (result.size() == ownerCount)
            break;
        auto limit = 1 + m_load.ownerGrantLimit(upstream->properties.slots);
        auto ownHardLimit = hardLimit;
        if (areBrittle) {
            auto const brittleLimit = upstream->brittle.limit(upstream->properties.slots, now);
            limit = std::min(limit, brittleLimit);
            ownHardLimit = std::min(hardLimit.value_or(brittleLimit), brittleLimit);
        }
        result.push_back({ upstream->properties.id, upstream->properties.hall, std::min(limit, most.value_or(limit)), coldNotice(*upstream, now), ownHardLimit });
    }
    return result;
}

// Less urgent requests leave a slot to those of priority 0.
std::optional<size_t> ServicePlacement::maxLoadFor(Request const& request) const
{
    auto const most = m_load.maxLoad();
    if (!most)
        return {};
    return *most - std::min<size_t>(*most, std::min(request.priority, slotsReservedForUrgent));
}

// A grant isn't used if the upstream has begun to leave or to back off, or changed its role since.
std::optional<ServicePlacement::Choice> ServicePlacement::choiceFromOwners(Request const& request, PermitExchange::Outcome const& outcome, Instant now)
{
    auto const found = outcome.upstream ? m_upstreams.find(*outcome.upstream) : m_upstreams.end();
    if (found == m_upstreams.end() || !takesRequests(found->second, request.role, now))
        return {};
    // Without a grant, the upstream is the least loaded of those asked, even if it is over its limit.
    if (request.role == UpstreamRole::Candidate && !outcome.isGranted)
        return {};
    if (isCold(found->second, now) && !found->second.health.allows(now, request.isRepeatable))
        return {};
    auto const rule = outcome.isGranted ? PlacementRule::Granted : PlacementRule::Least;
    return makeChoice(request, *outcome.upstream, { rule, m_load.countsAge(), m_load.hold(), outcome.requests, outcome.inFlight, outcome.limit, outcome.owner, m_load.mean() }, now);
}

UpstreamForecast ServicePlacement::forecast(UpstreamId id, Instant now) const
{
    auto const found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return { 0, m_load.hold() };
    auto const& upstream = found->second;
    return { upstream.load.expected(m_load.hold(), now), m_load.hold(), m_coldStartLimit, isCold(upstream, now), canLimitUnconfirmedCold() };
}

// Returns whether the mean request rate per upstream is low enough to apply the limit for upstreams
// that aren't known to be cold.
bool ServicePlacement::canLimitUnconfirmedCold() const
{
    if (!m_coldStartLimit.exists() || !m_load.bounds().isCautious)
        return false;
    auto const holdSeconds = asSeconds(m_load.hold());
    auto const inWindow = holdSeconds > 0 ? m_load.mean() / holdSeconds * asSeconds(coldStartWindow) : 0;
    return inWindow <= static_cast<double>(m_coldStartLimit.unconfirmedLimit());
}

UpstreamId ServicePlacement::chooseByCount(std::vector<Upstream*> const& usable, uint64_t context, double mean, Instant now) const
{
    FirstInRendezvousOrder firstWithin(context);
    FirstInRendezvousOrder firstBeyond(context);
    for (auto const* upstream : usable) {
        bool const isWithin = upstream->load.expected(m_load.hold(), now) <= m_load.contextLoadLimit(mean, upstream->properties.slots);
        (isWithin ? firstWithin : firstBeyond).offer(upstream->properties.id);
    }
    return firstWithin.id() ? *firstWithin.id() : *firstBeyond.id();
}

// Besides the upstream's accepted share, this daemon's own requests alone must not exceed the limit:
// their count is exact.
bool ServicePlacement::accepts(Upstream const& upstream, double mean) const
{
    return static_cast<double>(upstream.load.own()) <= m_load.contextLoadLimit(mean, upstream.properties.slots) && randomFraction(m_random) < upstream.share.value();
}

// Requests that the first upstream of the order doesn't accept are spread randomly over as many of
// the next ones as have room for its excess. Otherwise a context in high demand would overload the
// next upstream, and then the one after that.
UpstreamId ServicePlacement::chooseByShare(std::vector<Upstream*> const& usable, uint64_t context, double mean, Instant now) const
{
    FirstInRendezvousOrder first(context);
    for (auto const* upstream : usable)
        first.offer(upstream->properties.id);
    auto const& home = m_upstreams.at(*first.id());
    if (usable.size() == 1 || accepts(home, mean))
        return *first.id();
    auto others = usable;
    std::erase(others, &home);
    std::sort(others.begin(), others.end(), [context](auto const* one, auto const* other) {
        return rendezvousRank(context, one->properties.id.value()) > rendezvousRank(context, other->properties.id.value());
    });
    for (size_t index = randomBelow(m_random, spillWidth(home, others.size())); index < others.size(); ++index) {
        if (accepts(*others[index], mean))
            return others[index]->properties.id;
    }
    auto const least = std::min_element(others.begin(), others.end(), [&](auto const* one, auto const* other) {
        return one->load.expected(m_load.hold(), now) < other->load.expected(m_load.hold(), now);
    });
    return (*least)->properties.id;
}

// The number of other upstreams over which an upstream's excess is spread. Each has room for the
// difference between the target and the mean.
size_t ServicePlacement::spillWidth(Upstream const& home, size_t others) const
{
    auto const target = m_load.target(home.properties.slots);
    auto const excess = std::max(0.0, home.share.demand() - target);
    auto const room = std::max(1.0, target - m_load.mean());
    return std::clamp<size_t>(static_cast<size_t>(std::ceil(excess / room)), 1, others);
}

double ServicePlacement::expectedWait(Upstream const& upstream, double typical, Instant now) const
{
    auto const trust = std::exp(-asSeconds(now - upstream.lastAnswerAt) / answerTimeDecaySeconds);
    auto const took = upstream.meanAnswerSeconds == 0 ? typical : std::lerp(typical, upstream.meanAnswerSeconds, trust);
    auto const ahead = upstream.load.expected(m_load.hold(), now) / static_cast<double>(std::max<size_t>(1, upstream.properties.slots));
    return took * (1 + ahead) + (upstream.properties.isInOwnHall ? 0 : otherHallCost * typical);
}

ServicePlacement::Upstream* ServicePlacement::chooseByWait(std::vector<Upstream*> const& usable, Instant now) const
{
    // The fastest upstream defines the typical time; a mean would be raised by the slow upstreams
    // that are to be avoided.
    double typical = 0;
    for (auto const* upstream : usable) {
        if (upstream->meanAnswerSeconds > 0)
            typical = typical == 0 ? upstream->meanAnswerSeconds : std::min(typical, upstream->meanAnswerSeconds);
    }
    constexpr double assumedSeconds = 0.01;
    typical = typical == 0 ? assumedSeconds : typical;
    // The search starts at a random upstream, as all daemons would choose the same one of equals.
    auto const first = randomBelow(m_random, usable.size());
    Upstream* best = nullptr;
    double leastWait = 0;
    for (size_t step = 0; step < usable.size(); ++step) {
        auto* upstream = usable[(first + step) % usable.size()];
        auto const wait = expectedWait(*upstream, typical, now);
        if (!best || wait < leastWait) {
            best = upstream;
            leastWait = wait;
        }
    }
    return best;
}

}
