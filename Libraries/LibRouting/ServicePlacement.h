#pragma once

#include <LibBase/Hooks.h>
#include <LibBase/Ids.h>
#include <LibRouting/AcceptedShare.h>
#include <LibRouting/AdmissionGate.h>
#include <LibRouting/BrittleLimit.h>
#include <LibRouting/LoadEstimate.h>
#include <LibRouting/PermitExchange.h>
#include <LibRouting/PlacementRule.h>
#include <LibRouting/PromptChain.h>
#include <LibRouting/ServiceLoad.h>
#include <LibRouting/SilenceDetector.h>
#include <LibRouting/UpstreamBackoff.h>
#include <LibRouting/UpstreamHealth.h>
#include <LibRouting/UpstreamRole.h>
#include <map>
#include <optional>
#include <vector>

namespace Stagepost {

// Waits for the start of an answer that the service hardly ever exceeds at present.
struct WaitBounds {
    Microseconds forAny { 0 };
    // For a request with a prompt of the given length that has to be read completely.
    Microseconds forPrompt { 0 };
};

// The properties of an upstream that placement uses.
struct ServiceUpstream {
    UpstreamId id;
    bool isInOwnHall { false };
    size_t slots { 1 };
    bool isLeaving { false };
    HallId hall {};
    UpstreamRole role { UpstreamRole::Serving };
    VersionId version {};
};

// The outcome of sending a request to an upstream.
enum class SendOutcome : uint8_t {
    Succeeded,
    // The upstream answered with an error.
    Failed,
    // The upstream refused without running the request.
    Refused,
    // No answer arrived, or an unusable one.
    NoUsableAnswer,
    // No connection was established, so nothing was sent.
    ConnectFailed,
    // The outcome says nothing about the upstream: the caller disconnected, or nothing was sent.
    Unknown,
};

// Chooses the upstream for each request of a service, from this daemon's requests in flight, the
// load reports in upstreams' answers, the outcomes of requests, and the other daemons' requests
// in flight. A request with a context is placed on the first upstream with room in the context's
// rendezvous order, which all daemons compute independently. Other requests are placed where
// the expected wait is shortest.
class ServicePlacement {
public:
    using Bounds = ServiceLoad::Bounds;

    // The silence detector is shared by all services, since a whole hall becomes unreachable.
    ServicePlacement(Bounds bounds, SilenceDetector const& silence, RandomHook random)
        : m_silenceDetector(silence)
        , m_random(std::move(random))
        , m_load(bounds)
    {
    }

    // Adds an upstream or updates its properties; the state of a known one is kept.
    void putUpstream(ServiceUpstream const&);
    void removeUpstream(UpstreamId id) { m_upstreams.erase(id); }

    // Sets the rate limit for cold upstreams of the service.
    void setColdStartLimit(ColdStartLimit const& limit) { m_coldStartLimit = limit; }
    // Marks the upstream as cold until the given time, or as warm if there is none.
    void setColdUntil(UpstreamId, std::optional<Instant> until);
    // Treats the upstream as just started.
    void markStarted(UpstreamId id, Instant now) { setColdUntil(id, now + m_coldStartLimit.duration); }
    // This daemon could not reach any upstream for a while, which was no fault of theirs: upstreams
    // that took no requests for want of answers are tried again.
    void forgetUnreachable();
    // Whether any upstream is cold; cold ones receive only requests granted by an owner.
    bool hasCold(Instant now) const { return coldCount(now) > 0; }
    size_t coldCount(Instant now) const;

    struct Request {
        // Key of the shared prompt prefix that determines the preferred upstream, if any.
        std::optional<uint64_t> context;
        // Upstreams on which this request has already failed.
        std::vector<UpstreamId> excluded;
        // Whether the request may be repeated after a failure.
        bool isRepeatable { false };
        // 0 is the most urgent.
        unsigned priority { 0 };
        // Upstreams that may be cold and whose limit is used up; chosen only if there are no others.
        std::vector<UpstreamId> avoided {};
        // Only upstreams of this role are chosen. A request for candidates is placed only within their
        // load limit; if there is no choice, the caller can place it as a Serving one.
        UpstreamRole role { UpstreamRole::Serving };
        // If set, only upstreams of this version are chosen, since the request continues a stream that one
        // of them has begun.
        std::optional<VersionId> version {};
        // Set if the upstream's version must be known, to the time as of which the list of upstreams is
        // proven: upstreams whose process may have been replaced since are avoided.
        std::optional<Instant> versionsProvenAt {};
    };
    struct Choice {
        UpstreamId upstream;
        // Another upstream that probably holds the context. Fetching the context from there costs
        // a fraction of recomputing it.
        std::optional<UpstreamId> contextSource;
        // Whether the upstream may be unreachable, so that the request must be sent on a newly
        // established connection.
        bool needsNewConnection { false };
        PlacementReason reason;
    };
    std::optional<Choice> choose(Request const&, Instant now);

    // The upstreams whose owners are asked about a request, with the load limit for a grant: the
    // first ones in the rendezvous order of its context. Without a context, owners are asked only
    // if a cold upstream is drawn at random. If there are none, or the request is to be a trial
    // for an upstream that didn't answer, the result is empty and choose() decides.
    std::vector<PermitExchange::Candidate> candidatesForOwners(Request const&, Instant now);
    // The choice from the owners' answers; none if the upstream has become unavailable or changed its
    // role since, or if it is a candidate and its owner did not grant the request.
    std::optional<Choice> choiceFromOwners(Request const&, PermitExchange::Outcome const&, Instant now);
    // The first of the holders that can provide a context and isn't the chosen upstream.
    std::optional<UpstreamId> firstUsableSource(std::vector<UpstreamId> const& holders, UpstreamId chosen, Instant now, std::optional<VersionId> streamVersion = {}) const;
    // The expected load of an upstream, from this daemon's own data.
    UpstreamForecast forecast(UpstreamId, Instant now) const;

    void started(UpstreamId);
    // A request has ended; its answer started after `took`, and the request ended after `held`.
    void finished(UpstreamId, SendOutcome, Microseconds took, Microseconds held, Instant now);
    void reported(UpstreamId, UpstreamLoadReport const&, Instant now);
    // An answer of the upstream announces that it is brittle, or not; see BrittleLimit.
    void brittlenessAnnounced(UpstreamId, bool isBrittle, Instant now);
    // Whether any upstream is brittle. All of the service then keep within the load limits of brittle
    // ones.
    bool isBrittle(Instant now) const;
    // Whether the end of the upstream's process may be due to its load. If so, it is no evidence against
    // the requests that it broke off.
    bool mayHaveCrashedUnderLoad(UpstreamId, Instant now) const;
    // Whether requests without a context need permits too, if an owner responds.
    bool needsPermits(Instant now) const { return hasCold(now) || isBrittle(now); }
    // Connections of the upstream have ended, so its process may be replaced by one of another version.
    void processMayHaveEnded(UpstreamId, Instant now);
    // The upstream has asked this daemon to send no requests for the duration.
    void backoffRequested(UpstreamId, Microseconds duration, Instant now);
    // The remaining back-off of the upstream; zero if there is none.
    Microseconds remainingBackoff(UpstreamId, Instant now) const;
    size_t backingOffCount(Instant now) const;
    // Sets the number of requests that all other daemons had in flight at each upstream when the
    // counts had that age. Upstreams that aren't listed had none.
    void updateOthersInFlight(std::map<UpstreamId, size_t> const&, Microseconds age, Instant now);
    // This daemon's requests in flight, without upstreams that have none.
    std::vector<std::pair<UpstreamId, size_t>> ownInFlight() const;

    // The waits that answers hardly ever exceed for a prompt of that many tokens.
    WaitBounds waitBounds(uint64_t promptTokens) const;
    // Records how long an answer to a prompt of that many tokens took to start.
    void recordFirstByteWait(uint64_t promptTokens, Microseconds took);

    // Utilisation of the serving upstreams that aren't leaving.
    ServiceOccupancy occupancy() const;
    // Mean age of the other daemons' counts when they are used.
    Microseconds countsAge() const { return m_load.countsAge(); }
    // The mean load of the upstreams that take requests.
    double meanLoad() const { return m_load.mean(); }

    size_t size() const { return m_upstreams.size(); }
    // The number of upstreams that take requests of the role now or are among the failed ones, of the
    // version if one is given.
    size_t sizeForRetry(std::vector<UpstreamId> const& failed, Instant now, UpstreamRole role = UpstreamRole::Serving, std::optional<VersionId> version = {}) const;

private:
    struct Upstream {
        ServiceUpstream properties;
        LoadEstimate load;
        AcceptedShare share;
        UpstreamHealth health;
        UpstreamBackoff backoff;
        BrittleLimit brittle;
        // Moving mean of the time until an answer starts; 0 until the first answer.
        double meanAnswerSeconds { 0 };
        Instant lastAnswerAt;
        std::optional<Instant> coldUntil;
        std::optional<Instant> processEndedAt;
        // Whether it has been seen with requests while it was a serving upstream, and so may hold
        // contexts that others lack.
        bool hasServed { false };
    };

    bool isCold(Upstream const&, Instant now) const;
    std::vector<Upstream*> warm(std::vector<Upstream*> const&, Instant now) const;
    std::vector<Upstream*> availableCold(Request const&, std::vector<Upstream*> const&, Instant now) const;
    std::vector<Upstream*> randomCold(Request const&, std::vector<Upstream*> const&, Instant now);
    std::vector<PermitExchange::Candidate> ownerCandidates(Request const&, std::vector<Upstream*> const&, Instant now) const;
    size_t ownersToAsk() const;
    std::optional<size_t> maxLoadFor(Request const&) const;
    std::vector<Upstream*> orderedByWait(std::vector<Upstream*>, Instant now);
    bool isWithinBrittleLimit(Upstream const&, Instant now) const;
    std::optional<ColdStartNotice> coldNotice(Upstream const&, Instant now) const;
    static bool isServing(Upstream const&);
    static bool takesRequests(Upstream const&, UpstreamRole, Instant now);
    bool isWithinCandidateLimit(Upstream const&, Instant now) const;
    std::vector<Upstream*> available(Request const&, Instant now);
    Upstream* backingOffForTrial(Request const&, Instant now);
    std::vector<Upstream*> candidates(Request const&, Instant now);
    static std::vector<Upstream*> notAvoided(Request const&, std::vector<Upstream*> const&);
    Upstream* trialFor(Request const&, std::vector<Upstream*> const& usable, Instant now) const;
    std::vector<Upstream*> answering(std::vector<Upstream*> const& usable, Instant now) const;
    std::vector<Upstream*> reachable(std::vector<Upstream*> const&, Instant now) const;
    std::vector<Upstream*> healthy(std::vector<Upstream*> const&, Instant now) const;
    double meanLoad(Request const&, std::vector<Upstream*> const&, Instant now) const;
    Choice makeChoice(Request const&, UpstreamId, PlacementReason, Instant now) const;
    PlacementRule ruleForContexts() const;
    bool canLimitUnconfirmedCold() const;
    UpstreamId chooseByContext(Request const&, PlacementRule, std::vector<Upstream*> const&, Instant now) const;
    UpstreamId chooseByCount(std::vector<Upstream*> const&, uint64_t context, double mean, Instant now) const;
    UpstreamId chooseByShare(std::vector<Upstream*> const&, uint64_t context, double mean, Instant now) const;
    bool accepts(Upstream const&, double mean) const;
    size_t spillWidth(Upstream const& home, size_t others) const;
    void recordWait(SendOutcome, Microseconds took, Microseconds held);
    void adjustShares(Instant now);
    bool canProvideContext(Upstream const&, Reach hall, Instant now) const;
    static bool isVersionProven(Upstream const&, Request const&, Instant now);
    static bool matchesVersion(Upstream const&, std::optional<VersionId>);
    static bool mayShareContexts(Upstream const& source, Upstream const& chosen, std::optional<VersionId>);
    std::optional<UpstreamId> contextSource(Request const&, UpstreamId chosen, Instant now) const;
    Upstream* chooseByWait(std::vector<Upstream*> const&, Instant now) const;
    double expectedWait(Upstream const&, double typical, Instant now) const;

    SilenceDetector const& m_silenceDetector;
    RandomHook m_random;
    ServiceLoad m_load;
    ColdStartLimit m_coldStartLimit;
    std::map<UpstreamId, Upstream> m_upstreams;
    WaitEstimate m_waits;
    // Waits per tokensPerWaitUnit tokens of the prompt.
    WaitEstimate m_waitsPerTokens;
};

}
