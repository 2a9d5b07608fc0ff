#include <LibRouting/ServicePlacement.h>

#include <LibRouting/Rendezvous.h>
#include <algorithm>
#include <cmath>

namespace Stagepost {

namespace {

    // An upstream is passed over when it fails by this much more often than the
    // soundest of its service: some services fail a share of requests on any day.
    constexpr double tolerableExcess = 0.25;
    // The weight of the newest answer in the mean of how long answers take.
    constexpr double newestWeight = 0.2;
    // The time after which a slow answer of an idle upstream counts a third.
    constexpr double tookMemorySeconds = 5;
    // What another hall costs, as a share of the usual time of an answer: enough
    // to stay in the own hall among equals, not to queue there.
    constexpr double otherHallCost = 0.4;
    // Waits are kept for so many tokens of a prompt: for one they are a microsecond.
    constexpr uint64_t tokensOfWait = 1000;
    // Of one request's upstreams, so many owners are asked: a context that a twentieth of all
    // requests ask for fills seven of 160 upstreams.
    constexpr size_t mostOwnersAsked = 8;
    // Where requests have to be turned away.
    constexpr unsigned mostPlacesLeftToUrgent = 1;
    // What the watch says of halls, asked once for each: some have hundreds of upstreams.
    class HallReaches {
    public:
        HallReaches(SilenceWatch const& silence, Instant now)
            : m_silence(silence)
            , m_now(now)
        {
        }

        Reach of(HallId hall)
        {
            auto const [entry, isNew] = m_reaches.try_emplace(hall, Reach::Heard);
            if (isNew)
                entry->second = m_silence.reach(hall, m_now);
            return entry->second;
        }

    private:
        SilenceWatch const& m_silence;
        Instant m_now;
        std::map<HallId, Reach> m_reaches;
    };

    bool contains(std::vector<UpstreamId> const& ids, UpstreamId id)
    {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }

    // The first in a context's rendezvous order of the upstreams that are offered.
    class FirstInOrder {
    public:
        explicit FirstInOrder(uint64_t context)
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

void ServicePlacement::putUpstream(ServiceUpstream const& facts)
{
    m_upstreams[facts.id].facts = facts;
}

void ServicePlacement::noteCold(UpstreamId id, std::optional<Instant> until)
{
    if (auto const found = m_upstreams.find(id); found != m_upstreams.end())
        found->second.coldUntil = until;
}

bool ServicePlacement::isCold(Upstream const& upstream, Instant now) const
{
    return m_coldBound.exists() && upstream.coldUntil && now < *upstream.coldUntil;
}

std::optional<ColdNotice> ServicePlacement::coldNotice(Upstream const& upstream, Instant now) const
{
    if (!isCold(upstream, now))
        return {};
    return ColdNotice { m_coldBound, *upstream.coldUntil - now };
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

// One that did not answer is tried by its owner's leave alone: else all daemons would try it.
std::vector<ServicePlacement::Upstream*> ServicePlacement::coldThatMayBeAsked(Wish const& wish, std::vector<Upstream*> const& all, Instant now) const
{
    std::vector<Upstream*> result;
    std::copy_if(all.begin(), all.end(), std::back_inserter(result), [&](auto const* upstream) {
        return isCold(*upstream, now) && (upstream->health.isClosed() || upstream->health.isTrialDue(now, wish.isRepeatable));
    });
    return result;
}

// A cold upstream is asked for in its turn, where there are warm ones; else any of them.
std::vector<ServicePlacement::Upstream*> ServicePlacement::coldByChance(Wish const& wish, std::vector<Upstream*> const& reached, Instant now)
{
    auto cold = coldThatMayBeAsked(wish, reached, now);
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
    if (auto const found = m_upstreams.find(id); found != m_upstreams.end())
        found->second.load.reported(report, m_load.hold(), now);
}

void ServicePlacement::askedForRest(UpstreamId id, Microseconds duration, Instant now)
{
    if (auto const found = m_upstreams.find(id); found != m_upstreams.end())
        found->second.rest.asked(duration, now);
}

Microseconds ServicePlacement::restLeft(UpstreamId id, Instant now) const
{
    auto const found = m_upstreams.find(id);
    return found == m_upstreams.end() ? Microseconds(0) : found->second.rest.left(now);
}

size_t ServicePlacement::restingCount(Instant now) const
{
    return static_cast<size_t>(std::count_if(m_upstreams.begin(), m_upstreams.end(), [now](auto const& entry) { return entry.second.rest.isResting(now); }));
}

void ServicePlacement::othersCounted(std::map<UpstreamId, size_t> const& counts, Microseconds age, Instant now)
{
    m_load.counted(age, now);
    for (auto& [id, upstream] : m_upstreams) {
        auto const found = counts.find(id);
        upstream.load.othersCounted(found == counts.end() ? 0 : found->second, now - age, m_load.hold(), now);
    }
    adjustShares(now);
}

void ServicePlacement::adjustShares(Instant now)
{
    std::vector<CountedLoad> staying;
    std::vector<CountedLoad> others;
    for (auto const& [id, upstream] : m_upstreams)
        (upstream.facts.isLeaving ? others : staying).push_back({ upstream.load.counted(), upstream.load.usual(now) });
    m_load.found(staying, others);
    auto const memory = LoadEstimate::memory(m_load.hold());
    for (auto& [id, upstream] : m_upstreams) {
        auto const standing = m_load.standing({ upstream.load.counted(), upstream.load.usual(now) });
        upstream.share.adjust(standing, m_load.target(upstream.facts.slots), memory, now);
    }
}

ServiceOccupancy ServicePlacement::occupancy() const
{
    double load = 0;
    double places = 0;
    for (auto const& [id, upstream] : m_upstreams) {
        if (upstream.facts.isLeaving)
            continue;
        load += upstream.load.counted();
        places += static_cast<double>(upstream.facts.slots);
    }
    return { places > 0 ? load / places : 0, m_load.hold(), m_load.areQueuesKnown() };
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
    upstream.load.finished();
    noteWait(outcome, took, held);
    switch (outcome) {
    case SendOutcome::Succeeded:
        upstream.health.succeeded(now);
        break;
    case SendOutcome::Failed:
        upstream.health.answeredWithFailure(now);
        break;
    case SendOutcome::Refused:
        upstream.health.answeredWithFailure(now);
        return;
    case SendOutcome::Broke:
        upstream.health.broke(now);
        return;
    case SendOutcome::Unreachable:
        // Where the whole hall is silent, that tells nothing of the upstream.
        if (m_silence.reach(upstream.facts.hall, now) == Reach::Heard)
            upstream.health.unreachable(now);
        else
            upstream.health.trialReturned();
        return;
    case SendOutcome::Unknown:
        upstream.health.trialReturned();
        return;
    }
    upstream.tookSeconds = upstream.tookSeconds == 0 ? asSeconds(took) : std::lerp(upstream.tookSeconds, asSeconds(took), newestWeight);
    upstream.tookAt = now;
}

UsualWaits ServicePlacement::usualWaits(uint64_t promptTokens) const
{
    auto const thousands = static_cast<int64_t>((promptTokens + tokensOfWait - 1) / tokensOfWait);
    return { m_waits.bound(), m_waitsForTokens.bound() * thousands };
}

// Of a short prompt the wait tells of other things than its reading.
void ServicePlacement::began(uint64_t promptTokens, Microseconds took)
{
    if (promptTokens >= tokensOfWait)
        m_waitsForTokens.add(Microseconds(took.count() * static_cast<int64_t>(tokensOfWait) / static_cast<int64_t>(promptTokens)));
}

// An answer that was not waited for to its end would have taken longer still.
void ServicePlacement::noteWait(SendOutcome outcome, Microseconds took, Microseconds held)
{
    if (outcome == SendOutcome::Succeeded) {
        m_load.ended(held);
        m_waits.add(took);
    } else if (outcome == SendOutcome::Broke && held > m_waits.bound()) {
        m_waits.add(held);
    }
}

bool ServicePlacement::takesRequests(Upstream const& upstream, Instant now)
{
    return !upstream.facts.isLeaving && !upstream.rest.isResting(now);
}

size_t ServicePlacement::sizeForRetry(std::vector<UpstreamId> const& failed, Instant now) const
{
    return static_cast<size_t>(std::count_if(m_upstreams.begin(), m_upstreams.end(), [&](auto const& entry) {
        return contains(failed, entry.first) || takesRequests(entry.second, now);
    }));
}

std::vector<ServicePlacement::Upstream*> ServicePlacement::staying(Wish const& wish, Instant now)
{
    std::vector<Upstream*> result;
    for (auto& [id, upstream] : m_upstreams) {
        if (!contains(wish.excluded, id) && takesRequests(upstream, now))
            result.push_back(&upstream);
    }
    return result;
}

// The one that has waited longest for a trial. One that is cold is tried by its owner's leave alone.
ServicePlacement::Upstream* ServicePlacement::restingForTrial(Wish const& wish, Instant now)
{
    Upstream* result = nullptr;
    for (auto& [id, upstream] : m_upstreams) {
        bool const mayBeTried = !upstream.facts.isLeaving && upstream.rest.isTrialDue(now) && upstream.health.isClosed() && !isCold(upstream, now);
        if (!mayBeTried || contains(wish.excluded, id))
            continue;
        if (!result || upstream.rest.nextTrialAt() < result->rest.nextTrialAt())
            result = &upstream;
    }
    return result;
}

// Without those in halls that are silent. Where all are, this daemon may be the
// one that is cut off, or paused: try any.
std::vector<ServicePlacement::Upstream*> ServicePlacement::reachable(std::vector<Upstream*> const& all, Instant now) const
{
    HallReaches halls(m_silence, now);
    std::vector<Upstream*> result;
    std::copy_if(all.begin(), all.end(), std::back_inserter(result), [&](auto const* upstream) { return halls.of(upstream->facts.hall) != Reach::Silent; });
    return result.empty() ? all : result;
}

// Those that answer, or all where none does: then the fault may be the network's.
std::vector<ServicePlacement::Upstream*> ServicePlacement::answering(std::vector<Upstream*> const& usable, Instant now) const
{
    std::vector<Upstream*> result;
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(result), [](auto const* upstream) { return upstream->health.isClosed(); });
    return sound(result.empty() ? usable : result, now);
}

// Upstreams that stopped answering get one request each once their pause is over. A
// request that has failed already is no trial: where many upstreams are gone, it would
// go from one to the next.
ServicePlacement::Upstream* ServicePlacement::trialFor(Wish const& wish, std::vector<Upstream*> const& usable, Instant now) const
{
    bool const doesAnyAnswer = std::any_of(usable.begin(), usable.end(), [](auto const* upstream) { return upstream->health.isClosed(); });
    if (!wish.excluded.empty() && doesAnyAnswer)
        return nullptr;
    auto const found = std::find_if(usable.begin(), usable.end(), [&](auto const* upstream) { return upstream->health.isTrialDue(now, wish.isRepeatable); });
    return found == usable.end() ? nullptr : *found;
}

// Caution costs no answer: where it leaves none, those that are not known to be cold are used.
std::vector<ServicePlacement::Upstream*> ServicePlacement::notAvoided(Wish const& wish, std::vector<Upstream*> const& all)
{
    auto result = all;
    std::erase_if(result, [&](auto const* upstream) { return contains(wish.avoided, upstream->facts.id); });
    return result.empty() ? all : result;
}

std::vector<ServicePlacement::Upstream*> ServicePlacement::candidates(Wish const& wish, Instant now)
{
    auto const usable = notAvoided(wish, warm(reachable(staying(wish, now), now), now));
    auto* trial = trialFor(wish, usable, now);
    if (trial && trial->health.allows(now, wish.isRepeatable))
        return { trial };
    return answering(usable, now);
}

// Never leaves fewer than half: where most of a service fails, it is the service
// that is at fault, and the rest would only be overrun.
std::vector<ServicePlacement::Upstream*> ServicePlacement::sound(std::vector<Upstream*> const& all, Instant now) const
{
    double best = 1;
    for (auto const* upstream : all)
        best = std::min(best, upstream->health.failureShare(now));
    std::vector<Upstream*> result;
    std::copy_if(all.begin(), all.end(), std::back_inserter(result), [&](auto const* upstream) {
        return upstream->health.failureShare(now) <= best + tolerableExcess;
    });
    return result.size() * 2 < all.size() ? all : result;
}

std::optional<ServicePlacement::Choice> ServicePlacement::choose(Wish const& wish, Instant now)
{
    auto const usable = candidates(wish, now);
    if (usable.empty()) {
        auto* resting = restingForTrial(wish, now);
        if (!resting)
            return {};
        resting->rest.tried();
        return finish(wish, resting->facts.id, { PlacementRule::Resting, m_load.countsAge(), m_load.hold(), 0 }, now);
    }
    auto const rule = wish.context ? ruleForContexts() : PlacementRule::Wait;
    auto const upstream = wish.context ? chooseByContext(rule, usable, *wish.context, now) : chooseByWait(usable, now)->facts.id;
    return finish(wish, upstream, { rule, m_load.countsAge(), m_load.hold(), 0 }, now);
}

ServicePlacement::Choice ServicePlacement::finish(Wish const& wish, UpstreamId chosen, PlacementReason reason, Instant now) const
{
    Choice choice { chosen, {}, false, reason };
    if (wish.context)
        choice.contextSource = contextSource(*wish.context, choice.upstream, now);
    auto const& upstream = m_upstreams.at(choice.upstream);
    choice.isInDoubt = !upstream.health.isClosed() || m_silence.isSilent(choice.upstream, now) || m_silence.reach(upstream.facts.hall, now) != Reach::Heard;
    return choice;
}

// Every daemon sends a context to the first upstream of its order, so where the
// chosen one is another, the first one holds it; and where the chosen one is the
// first but new, the one after it was the first before. Leaving upstreams take
// no requests and still give what they hold. One that cannot be reached from here
// is hardly reached from the chosen one, which would wait for it in vain.
std::optional<UpstreamId> ServicePlacement::contextSource(uint64_t context, UpstreamId chosen, Instant now) const
{
    HallReaches halls(m_silence, now);
    FirstInOrder first(context);
    for (auto const& [id, upstream] : m_upstreams) {
        if (id != chosen && canGive(upstream, halls.of(upstream.facts.hall), now))
            first.offer(id);
    }
    return first.id();
}

std::optional<UpstreamId> ServicePlacement::sourceAmong(std::vector<UpstreamId> const& holders, UpstreamId chosen, Instant now) const
{
    auto const found = std::find_if(holders.begin(), holders.end(), [&](UpstreamId id) {
        auto const known = m_upstreams.find(id);
        return id != chosen && known != m_upstreams.end() && canGive(known->second, m_silence.reach(known->second.facts.hall, now), now);
    });
    return found == holders.end() ? std::nullopt : std::optional(*found);
}

// Whether a context may be copied from there.
bool ServicePlacement::canGive(Upstream const& upstream, Reach hall, Instant now) const
{
    return upstream.health.isClosed() && hall == Reach::Heard && !m_silence.isSilent(upstream.facts.id, now);
}

PlacementRule ServicePlacement::ruleForContexts() const
{
    return m_load.areCountsFresh() ? PlacementRule::Count : PlacementRule::Share;
}

UpstreamId ServicePlacement::chooseByContext(PlacementRule rule, std::vector<Upstream*> const& usable, uint64_t context, Instant now) const
{
    return rule == PlacementRule::Share ? chooseByShare(usable, context, mean(usable, now), now) : chooseByCount(usable, context, mean(usable, now), now);
}

double ServicePlacement::mean(std::vector<Upstream*> const& usable, Instant now) const
{
    double sum = 0;
    for (auto const* upstream : usable)
        sum += upstream->load.expected(m_load.hold(), now);
    return sum / static_cast<double>(usable.size());
}

std::vector<LedgerExchange::Candidate> ServicePlacement::candidatesForOwners(Wish const& wish, Instant now)
{
    auto const reached = reachable(staying(wish, now), now);
    if (!wish.context)
        return asCandidates(wish, coldByChance(wish, reached, now), now);
    auto const others = warm(reached, now);
    // An owner that does not answer would keep the trial from being made.
    if (reached.empty() || trialFor(wish, others, now))
        return {};
    auto usable = others.empty() ? others : answering(others, now);
    auto const cold = coldThatMayBeAsked(wish, reached, now);
    usable.insert(usable.end(), cold.begin(), cold.end());
    auto const count = std::min(mostOwnersAsked, usable.size());
    std::partial_sort(usable.begin(), usable.begin() + static_cast<ptrdiff_t>(count), usable.end(), [context = *wish.context](auto const* one, auto const* other) {
        return rendezvousRank(context, one->facts.id.value()) > rendezvousRank(context, other->facts.id.value());
    });
    usable.resize(count);
    return asCandidates(wish, usable, now);
}

std::vector<LedgerExchange::Candidate> ServicePlacement::asCandidates(Wish const& wish, std::vector<Upstream*> const& upstreams, Instant now) const
{
    auto const most = mostFor(wish);
    std::vector<LedgerExchange::Candidate> result;
    result.reserve(std::min(mostOwnersAsked, upstreams.size()));
    for (auto const* upstream : upstreams) {
        if (result.size() == mostOwnersAsked)
            break;
        auto const limit = 1 + m_load.grantable(upstream->facts.slots);
        result.push_back({ upstream->facts.id, upstream->facts.hall, std::min(limit, most.value_or(limit)), coldNotice(*upstream, now), most });
    }
    return result;
}

// The less urgent leave a place to the most urgent.
std::optional<size_t> ServicePlacement::mostFor(Wish const& wish) const
{
    auto const most = m_load.most();
    if (!most)
        return {};
    return *most - std::min<size_t>(*most, std::min(wish.priority, mostPlacesLeftToUrgent));
}

// What was allowed before an upstream began to leave, or to rest, is not used any more.
std::optional<ServicePlacement::Choice> ServicePlacement::chosenByOwners(Wish const& wish, LedgerExchange::Outcome const& outcome, Instant now)
{
    auto const found = outcome.upstream ? m_upstreams.find(*outcome.upstream) : m_upstreams.end();
    if (found == m_upstreams.end() || !takesRequests(found->second, now))
        return {};
    if (isCold(found->second, now) && !found->second.health.allows(now, wish.isRepeatable))
        return {};
    auto const rule = outcome.isGranted ? PlacementRule::Granted : PlacementRule::Least;
    return finish(wish, *outcome.upstream, { rule, m_load.countsAge(), m_load.hold(), outcome.asks, outcome.counted, outcome.limit }, now);
}

UpstreamForecast ServicePlacement::forecast(UpstreamId id, Instant now) const
{
    auto const found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return { 0, m_load.hold() };
    auto const& upstream = found->second;
    return { upstream.load.expected(m_load.hold(), now), m_load.hold(), m_coldBound, isCold(upstream, now), hasRoomForCaution() };
}

bool ServicePlacement::hasRoomForCaution() const
{
    if (!m_coldBound.exists() || !m_load.bounds().isCautious)
        return false;
    auto const holdSeconds = asSeconds(m_load.hold());
    auto const inWindow = holdSeconds > 0 ? m_load.mean() / holdSeconds * asSeconds(coldWindow) : 0;
    return inWindow <= static_cast<double>(m_coldBound.forCaution());
}

UpstreamId ServicePlacement::chooseByCount(std::vector<Upstream*> const& usable, uint64_t context, double mean, Instant now) const
{
    FirstInOrder firstWithin(context);
    FirstInOrder firstBeyond(context);
    for (auto const* upstream : usable) {
        bool const isWithin = upstream->load.expected(m_load.hold(), now) <= m_load.usable(mean, upstream->facts.slots);
        (isWithin ? firstWithin : firstBeyond).offer(upstream->facts.id);
    }
    return firstWithin.id() ? *firstWithin.id() : *firstBeyond.id();
}

// What this daemon has in flight itself it knows, so its own bound holds beside the
// upstream's share.
bool ServicePlacement::takes(Upstream const& upstream, double mean) const
{
    return static_cast<double>(upstream.load.own()) <= m_load.usable(mean, upstream.facts.slots) && randomShare(m_random) < upstream.share.value();
}

// What the first upstream of the order does not take goes to one of so many others
// that each of them gets no more than it has room for: a context that all ask for
// would else fill the next one, and then the one after that.
UpstreamId ServicePlacement::chooseByShare(std::vector<Upstream*> const& usable, uint64_t context, double mean, Instant now) const
{
    FirstInOrder first(context);
    for (auto const* upstream : usable)
        first.offer(upstream->facts.id);
    auto const& home = m_upstreams.at(*first.id());
    if (usable.size() == 1 || takes(home, mean))
        return *first.id();
    auto others = usable;
    std::erase(others, &home);
    std::sort(others.begin(), others.end(), [context](auto const* one, auto const* other) {
        return rendezvousRank(context, one->facts.id.value()) > rendezvousRank(context, other->facts.id.value());
    });
    for (size_t index = randomBelow(m_random, widthOfSpill(home, others.size())); index < others.size(); ++index) {
        if (takes(*others[index], mean))
            return others[index]->facts.id;
    }
    auto const least = std::min_element(others.begin(), others.end(), [&](auto const* one, auto const* other) {
        return one->load.expected(m_load.hold(), now) < other->load.expected(m_load.hold(), now);
    });
    return (*least)->facts.id;
}

// Over how many others an upstream's excess is spread: each of them has room for what
// lies between the mean and the target.
size_t ServicePlacement::widthOfSpill(Upstream const& home, size_t others) const
{
    auto const target = m_load.target(home.facts.slots);
    auto const excess = std::max(0.0, home.share.demand() - target);
    auto const room = std::max(1.0, target - m_load.mean());
    return std::clamp<size_t>(static_cast<size_t>(std::ceil(excess / room)), 1, others);
}

double ServicePlacement::expectedWait(Upstream const& upstream, double usual, Instant now) const
{
    auto const trust = std::exp(-asSeconds(now - upstream.tookAt) / tookMemorySeconds);
    auto const took = upstream.tookSeconds == 0 ? usual : std::lerp(usual, upstream.tookSeconds, trust);
    auto const ahead = upstream.load.expected(m_load.hold(), now) / static_cast<double>(std::max<size_t>(1, upstream.facts.slots));
    return took * (1 + ahead) + (upstream.facts.isInOwnHall ? 0 : otherHallCost * usual);
}

ServicePlacement::Upstream* ServicePlacement::chooseByWait(std::vector<Upstream*> const& usable, Instant now) const
{
    // The quickest upstream tells what is usual; a mean would be drawn up by the
    // very ones that are to be passed over.
    double usual = 0;
    for (auto const* upstream : usable) {
        if (upstream->tookSeconds > 0)
            usual = usual == 0 ? upstream->tookSeconds : std::min(usual, upstream->tookSeconds);
    }
    constexpr double anyTime = 0.01;
    usual = usual == 0 ? anyTime : usual;
    // Equals are told apart by chance, or all daemons would choose the same one.
    auto const first = randomBelow(m_random, usable.size());
    Upstream* best = nullptr;
    double leastWait = 0;
    for (size_t step = 0; step < usable.size(); ++step) {
        auto* upstream = usable[(first + step) % usable.size()];
        auto const wait = expectedWait(*upstream, usual, now);
        if (!best || wait < leastWait) {
            best = upstream;
            leastWait = wait;
        }
    }
    return best;
}

}
