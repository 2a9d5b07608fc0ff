#pragma once

#include <LibBase/Hooks.h>
#include <LibBase/Ids.h>
#include <LibRouting/AdmissionGate.h>
#include <LibRouting/LedgerExchange.h>
#include <LibRouting/LoadEstimate.h>
#include <LibRouting/PlacementRule.h>
#include <LibRouting/PromptChain.h>
#include <LibRouting/ServiceLoad.h>
#include <LibRouting/SilenceWatch.h>
#include <LibRouting/TakenShare.h>
#include <LibRouting/UpstreamHealth.h>
#include <LibRouting/UpstreamRest.h>
#include <map>
#include <optional>
#include <vector>

namespace Stagepost {

// What answers of a service hardly ever exceed at present until they begin.
struct UsualWaits {
    Microseconds forAny { 0 };
    // For one with as long a prompt, where all of it has to be read first.
    Microseconds forPrompt { 0 };
};

// One upstream of a service, as placement needs it.
struct ServiceUpstream {
    UpstreamId id;
    bool isInOwnHall { false };
    size_t slots { 1 };
    bool isLeaving { false };
    HallId hall {};
};

// How a request that was sent to an upstream ended.
enum class SendOutcome : uint8_t {
    Succeeded,
    // The upstream answered that it failed.
    Failed,
    // The upstream refused without running the request.
    Refused,
    // No answer, or none that can be used.
    Broke,
    // No connection came up, so nothing was sent.
    Unreachable,
    // Nothing is known of the upstream: the caller left, or it was never asked.
    Unknown,
};

// Chooses the upstream of one service for each request, by this daemon's own
// requests, the reports in the upstreams' answers, how those answers turned out, and
// what the other daemons have in flight. Requests with a context go to the first
// upstream of the context's rendezvous order, which all daemons agree on without
// asking, as far as it has room for them; others go where they are expected to be
// answered soonest.
class ServicePlacement {
public:
    using Bounds = ServiceLoad::Bounds;

    // The watch is shared by all services: halls fall silent, not services.
    ServicePlacement(Bounds bounds, SilenceWatch const& silence, RandomHook random)
        : m_silence(silence)
        , m_random(std::move(random))
        , m_load(bounds)
    {
    }

    // Adds an upstream, or changes one, of which all else that is known stays.
    void putUpstream(ServiceUpstream const&);
    void removeUpstream(UpstreamId id) { m_upstreams.erase(id); }

    // What upstreams of the service take while they are cold.
    void setColdBound(ColdBound const& bound) { m_coldBound = bound; }
    // The upstream is cold until then; none where it is warm.
    void noteCold(UpstreamId, std::optional<Instant> until);
    // It is to be taken for one that has just started.
    void noteStarted(UpstreamId id, Instant now) { noteCold(id, now + m_coldBound.duration); }
    // Whether it gets only what its owner allows.
    bool hasCold(Instant now) const { return coldCount(now) > 0; }
    size_t coldCount(Instant now) const;

    struct Wish {
        // The context that decides where the request is best sent, if any.
        std::optional<uint64_t> context;
        // Upstreams that have failed this request already.
        std::vector<UpstreamId> excluded;
        // Whether it may be sent again if it fails.
        bool isRepeatable { false };
        // 0 is the most urgent.
        unsigned priority { 0 };
        // Upstreams that are to get nothing further by now, where there are others.
        std::vector<UpstreamId> avoided {};
    };
    struct Choice {
        UpstreamId upstream;
        // The other upstream that is most likely to hold the context: taking it
        // from there costs a fraction of reading it again.
        std::optional<UpstreamId> contextSource;
        // Whether it is in doubt that the upstream can be reached: the request is
        // sent only on a connection that has just come up.
        bool isInDoubt { false };
        PlacementReason reason;
    };
    std::optional<Choice> choose(Wish const&, Instant now);

    // What upstreams' owners are asked about a request with a context: the first of its
    // order, and up to how much each may hold to take it. None where it is to try an upstream
    // that did not answer, or where there is none: choose() decides then.
    // One without a context is asked for only where chance has it go to a cold upstream.
    std::vector<LedgerExchange::Candidate> candidatesForOwners(Wish const&, Instant now);
    // The choice that their answers made; none where the upstream is gone or leaving by now.
    std::optional<Choice> chosenByOwners(Wish const&, LedgerExchange::Outcome const&, Instant now);
    // The first of those that can be reached and is not the chosen one.
    std::optional<UpstreamId> sourceAmong(std::vector<UpstreamId> const& holders, UpstreamId chosen, Instant now) const;
    // What an upstream is likely to hold, as far as this daemon can tell by itself.
    UpstreamForecast forecast(UpstreamId, Instant now) const;

    void started(UpstreamId);
    // How long the answer took to begin, and the request to end.
    void finished(UpstreamId, SendOutcome, Microseconds took, Microseconds held, Instant now);
    void reported(UpstreamId, UpstreamLoadReport const&, Instant now);
    // The upstream wants nothing of this daemon for so long.
    void askedForRest(UpstreamId, Microseconds duration, Instant now);
    // What is left of that, where it rests.
    Microseconds restLeft(UpstreamId, Instant now) const;
    size_t restingCount(Instant now) const;
    // What all other daemons had in flight so long ago; nothing at upstreams that are
    // not in it.
    void othersCounted(std::map<UpstreamId, size_t> const&, Microseconds age, Instant now);
    // What this daemon has in flight; upstreams with nothing are left out.
    std::vector<std::pair<UpstreamId, size_t>> ownInFlight() const;

    // How long the service's answers hardly ever take to begin at present, where the
    // prompt has so many tokens.
    UsualWaits usualWaits(uint64_t promptTokens) const;
    // An answer to such a prompt began after that long.
    void began(uint64_t promptTokens, Microseconds took);

    // How full the upstreams are that stay.
    ServiceOccupancy occupancy() const;
    // How old the others' counts are when they are used, in the mean.
    Microseconds countsAge() const { return m_load.countsAge(); }

    size_t size() const { return m_upstreams.size(); }
    // Those that take requests now, and those that have failed one that may be sent again.
    size_t sizeForRetry(std::vector<UpstreamId> const& failed, Instant now) const;

private:
    struct Upstream {
        ServiceUpstream facts;
        LoadEstimate load;
        TakenShare share;
        UpstreamHealth health;
        UpstreamRest rest;
        // How long answers take there, a moving mean; 0 until the first.
        double tookSeconds { 0 };
        Instant tookAt;
        std::optional<Instant> coldUntil;
    };

    bool isCold(Upstream const&, Instant now) const;
    std::vector<Upstream*> warm(std::vector<Upstream*> const&, Instant now) const;
    std::vector<Upstream*> coldThatMayBeAsked(Wish const&, std::vector<Upstream*> const&, Instant now) const;
    std::vector<Upstream*> coldByChance(Wish const&, std::vector<Upstream*> const&, Instant now);
    std::vector<LedgerExchange::Candidate> asCandidates(Wish const&, std::vector<Upstream*> const&, Instant now) const;
    std::optional<size_t> mostFor(Wish const&) const;
    std::optional<ColdNotice> coldNotice(Upstream const&, Instant now) const;
    static bool takesRequests(Upstream const&, Instant now);
    std::vector<Upstream*> staying(Wish const&, Instant now);
    Upstream* restingForTrial(Wish const&, Instant now);
    std::vector<Upstream*> candidates(Wish const&, Instant now);
    static std::vector<Upstream*> notAvoided(Wish const&, std::vector<Upstream*> const&);
    Upstream* trialFor(Wish const&, std::vector<Upstream*> const& usable, Instant now) const;
    std::vector<Upstream*> answering(std::vector<Upstream*> const& usable, Instant now) const;
    std::vector<Upstream*> reachable(std::vector<Upstream*> const&, Instant now) const;
    std::vector<Upstream*> sound(std::vector<Upstream*> const&, Instant now) const;
    double mean(std::vector<Upstream*> const&, Instant now) const;
    Choice finish(Wish const&, UpstreamId, PlacementReason, Instant now) const;
    PlacementRule ruleForContexts() const;
    bool hasRoomForCaution() const;
    UpstreamId chooseByContext(PlacementRule, std::vector<Upstream*> const&, uint64_t context, Instant now) const;
    UpstreamId chooseByCount(std::vector<Upstream*> const&, uint64_t context, double mean, Instant now) const;
    UpstreamId chooseByShare(std::vector<Upstream*> const&, uint64_t context, double mean, Instant now) const;
    bool takes(Upstream const&, double mean) const;
    size_t widthOfSpill(Upstream const& home, size_t others) const;
    void noteWait(SendOutcome, Microseconds took, Microseconds held);
    void adjustShares(Instant now);
    bool canGive(Upstream const&, Reach hall, Instant now) const;
    std::optional<UpstreamId> contextSource(uint64_t context, UpstreamId chosen, Instant now) const;
    Upstream* chooseByWait(std::vector<Upstream*> const&, Instant now) const;
    double expectedWait(Upstream const&, double usual, Instant now) const;

    SilenceWatch const& m_silence;
    RandomHook m_random;
    ServiceLoad m_load;
    ColdBound m_coldBound;
    std::map<UpstreamId, Upstream> m_upstreams;
    WaitEstimate m_waits;
    // For each thousand tokens of the prompt.
    WaitEstimate m_waitsForTokens;
};

}
