#pragma once

#include <LibBase/FleetPeer.h>
#include <LibBase/QuestionNumbers.h>
#include <LibBase/TokenBucket.h>
#include <LibRouting/InFlightCounter.h>
#include <LibRouting/PermitMessage.h>
#include <LibRouting/SilenceDetector.h>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace Stagepost {

// Obtains a permit from an upstream's owner before a request is sent there, and grants permits for
// the upstreams that this daemon owns. Rendezvous hashing assigns each upstream one owner among the
// daemons of its hall, which alone counts the requests in flight there. Its count is exact, whereas
// other load data is about a second old, in which time a whole fleet can overload an upstream. For
// the same reason, the owner also limits the request rate of a cold upstream.
//
// If an owner does not respond within a few milliseconds, the next daemon in the order is asked. If
// that fails too, the request is placed without a permit, so serving does not depend on this class.
//
// A daemon that becomes the owner lacks the counts of requests that are already in flight, and while
// some daemons use the previous owner and some the next one, neither has all counts. So a daemon
// that starts announces itself, and one that is asked in place of an owner which doesn't respond to
// it either announces that. All daemons then use the same owner, and report their counts to it.
class PermitExchange {
public:
    struct Bounds {
        // The response timeout follows the measured round trips within this range. A round trip
        // takes 16 ms between regions and 1 ms between halls.
        Microseconds minResponseTimeout { 5000 };
        Microseconds maxResponseTimeout { 25000 };
        // How long no requests are sent to an owner that has timed out, and the interval at which
        // its replacement asks whether it is available again.
        Microseconds suspectDuration { 5000000 };
        // The minimum interval between announcements by which an owner refutes its replacement.
        Microseconds minAnnouncementInterval { 1000000 };
        // How many owners of one upstream are tried before the candidate search ends.
        size_t maxOwnersPerUpstream { 2 };
        // The token bucket for permit requests beyond the first candidate. During a load spike,
        // all upstreams are at their limits until the rise of the mean is known, so every request
        // would try all candidates.
        double extraRequestsPerSecond { 10 };
        double extraRequestBurst { 40 };
        // How long after a daemon's start, or a change of its hall's daemons, other daemons may
        // still consider another one the owner of its upstreams.
        Microseconds ownershipSettleTime { 3000000 };
        // The interval between removals of expired counts and checks for due reports.
        Microseconds housekeepingInterval { 500000 };
    };

    // An upstream that a request can be sent to.
    struct Candidate {
        UpstreamId upstream;
        HallId hall;
        // A permit is granted while fewer requests than this are in flight there.
        size_t limit { 1 };
        std::optional<ColdStartNotice> cold {};
        // The limit that applies if no candidate grants a permit; empty if unlimited.
        std::optional<size_t> hardLimit {};
    };

    // The context of the request, if any, and the upstreams in the order of preference.
    struct CandidateList {
        std::optional<uint64_t> context;
        std::vector<Candidate> candidates;
    };

    struct Outcome {
        // The chosen upstream; empty if no owner has responded or none may be chosen.
        std::optional<UpstreamId> upstream;
        // Whether the owner granted a permit. Otherwise, the least loaded candidate was chosen.
        bool isGranted { false };
        size_t requests { 0 };
        // Upstreams that are or may be cold and whose quota is used up.
        std::vector<UpstreamId> exhausted {};
        // Whether no permit was obtained even up to the hard limit, so that the request is rejected.
        bool isFull { false };
        // The owner's in-flight count at the chosen upstream, and the limit that applied.
        size_t inFlight { 0 };
        size_t limit { 0 };
        // Whether the context has not been placed on the chosen upstream, as far as the owner knows.
        bool isContextNew { false };
        // The owner that the count is from.
        VMId owner {};
    };
    using Callback = std::function<void(Outcome const&)>;

    struct Hooks {
        std::function<void(VMId to, std::string bytes)> send;
        InFlightCounter::Forecast forecast;
        RandomHook random;
        // Optional. An owner has timed out and is suspected for a while.
        std::function<void(VMId owner, UpstreamId, Microseconds waited)> unanswered {};
        // Optional. This daemon has announced that it replaces an owner.
        std::function<void(VMId owner)> replaces {};
        // Optional. Another daemon has announced that it is available, or that it is about to stop.
        // Called before the announcement is handled, so that a hook can call setPeers() first.
        std::function<void(FleetPeer)> arrived {};
        std::function<void(VMId)> left {};
    };

    PermitExchange(FleetPeer self, Bounds bounds, Hooks hooks)
        : m_self(self)
        , m_bounds(bounds)
        , m_hooks(std::move(hooks))
        , m_inFlightCounter(m_hooks.forecast)
        , m_requestNumbers(m_hooks.random)
        , m_extraRequests(bounds.extraRequestBurst)
    {
    }

    // Sets the other registered daemons, and which daemons are relays. Relaying load data and proofs
    // takes most of a daemon's send budget, so relays rank after all other daemons of their hall as
    // owners.
    void setPeers(std::vector<FleetPeer>, std::vector<VMId> const& relays, Instant now);

    // Requests permits from the candidates' owners in order until one is granted. The request counts
    // as in flight at the chosen upstream from then on. Invokes the callback synchronously if this
    // daemon owns all candidates that are tried.
    void choose(std::vector<Candidate> candidates, Callback callback, Instant now) { choose({ {}, std::move(candidates) }, std::move(callback), now); }
    void choose(CandidateList, Callback, Instant now);
    // Counts a request that was sent without a permit.
    void requestStarted(UpstreamId, HallId, Instant now);
    // Removes a request that was counted by choose() or requestStarted(): it has finished, or was
    // not sent.
    void requestFinished(UpstreamId, Instant now);

    // This daemon is about to stop: others own its upstreams from now on.
    void announceLeaving(Instant now);

    // Error: Malformed.
    Result<void> receive(VMId from, std::string_view bytes, Instant now);
    void tick(Instant now);
    // The earliest deadline of the pending permit requests.
    std::optional<Instant> nextTimeout() const;

    size_t unansweredRequests() const { return m_unansweredRequests; }
    // Permit requests that this daemon denied as owner because the cold quota was used up.
    size_t deniedColdRequests() const { return m_deniedColdRequests; }
    InFlightCounter const& inFlightCounter() const { return m_inFlightCounter; }

private:
    // This daemon's requests in flight at one upstream.
    struct LocalCount {
        size_t count { 0 };
        HallId hall;
        // The daemon that the count was last reported to, and when.
        VMId reportedTo;
        Instant reportedAt;
    };
    struct Pending {
        std::optional<uint64_t> context;
        std::vector<Candidate> candidates;
        size_t candidateIndex { 0 };
        // How many owners of the current candidate have been tried.
        size_t ownersTried { 0 };
        VMId owner;
        Instant sentAt;
        Instant deadline;
        size_t requests { 0 };
        // The index of the least loaded candidate whose owner has responded.
        std::optional<size_t> leastLoaded;
        size_t leastLoadedCount { 0 };
        VMId leastLoadedOwner;
        bool isContextNewAtLeastLoaded { false };
        // Whether the permit up to the hard limit has been requested.
        bool isFinalRequest { false };
        // Whether that permit was denied.
        bool isFull { false };
        std::vector<UpstreamId> exhausted;
        Callback callback;
    };

    std::optional<VMId> ownerOf(UpstreamId, HallId, Instant now) const;
    std::optional<VMId> firstOwnerOf(UpstreamId, HallId, std::function<bool(VMId)> const& isExcluded) const;
    OwnerStatus ownerStatus(size_t precedingCount, Instant now) const;
    std::vector<VMId> precedingOwners(UpstreamId) const;
    std::vector<std::pair<VMId, bool>> ownerCandidates() const;
    PermitDecision decide(VMId from, PermitRequest const&, Instant now);
    Microseconds responseTimeout() const;
    size_t localInFlight(UpstreamId) const;
    size_t pendingRequestsFor(UpstreamId) const;
    void sendRequest(uint64_t previousId, Instant now);
    void handleResponse(uint64_t requestId, PermitDecision const&, Instant now);
    void tryNextCandidate(uint64_t requestId, Instant now);
    void concludeWithoutPermit(uint64_t requestId, Instant now);
    void requestUpToHardLimit(uint64_t requestId, Candidate, Instant now);
    void complete(uint64_t requestId, Outcome const&);
    void handleTimeout(uint64_t requestId, Instant now);
    void handleLateResponse(uint64_t requestId, VMId from, Instant now);
    LocalCount& addLocalRequest(UpstreamId, HallId, VMId owner, Instant now);
    void sendReport(UpstreamId, LocalCount&, Instant now);
    void sendReportTo(VMId owner, UpstreamId, size_t count, Instant now);
    void reportToSuspectedOwner(UpstreamId, Instant now);
    void reportToNewOwners(Instant now);
    void reportAllTo(VMId owner, Instant now);
    void broadcast(PermitMessage const&);
    void announceAvailable(Instant now);
    void askPrecedingOwners(std::vector<VMId> const& preceding, Instant now);
    void confirmReplacements(Instant now);
    void handleAvailable(FleetPeer from, Instant now);
    void handleLeaving(VMId from, Instant now);
    void handleReplacement(VMId from, OwnerReplacement const&, Instant now);

    FleetPeer m_self;
    Bounds m_bounds;
    Hooks m_hooks;
    InFlightCounter m_inFlightCounter;
    std::vector<FleetPeer> m_peers;
    std::set<VMId> m_relays;
    std::map<VMId, Instant> m_suspectedUntil;
    WaitEstimate m_roundTrip;
    std::map<uint64_t, Pending> m_pending;
    // An owner that this daemon is asked in place of.
    struct ReplacedOwner {
        // When it was last asked whether it is available, and whether the answer is pending.
        Instant askedAt;
        bool isAnswerPending { false };
    };
    std::map<VMId, ReplacedOwner> m_replacedOwners;
    std::optional<Instant> m_announcedAt;
    bool m_isLeaving { false };
    // Daemons that are about to stop. They are not in m_peers any more but still send requests.
    std::set<VMId> m_leavingPeers;
    // Permit requests that have timed out but may still receive a response.
    struct TimedOutRequest {
        uint64_t requestId { 0 };
        VMId owner;
        Instant sentAt;
    };
    std::deque<TimedOutRequest> m_timedOutRequests;
    QuestionNumbers m_requestNumbers;
    std::map<UpstreamId, LocalCount> m_localCounts;
    TokenBucket m_extraRequests;
    Instant m_housekeepingAt;
    size_t m_unansweredRequests { 0 };
    size_t m_deniedColdRequests { 0 };
    // The daemons of this hall with a flag for relays, and the time of the last change.
    std::vector<std::pair<VMId, bool>> m_ownerCandidates;
    std::optional<Instant> m_startedAt;
    Instant m_ownersSince;
};

}
