#pragma once

#include <LibRollout/Rollout.h>
#include <LibRouting/Routing.h>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace Stagepost::LoadPatterns {

// A class of requests that share a set of contexts.
struct RequestClass {
    // As a fraction of all requests.
    double share { 1 };
    size_t contexts { 100 };
    // Mean duration of an answer, without prefill.
    double answerSeconds { 1 };
    double contextTokens { 1000 };
    // The time from arrival within which an answer must start.
    double startObjectiveSeconds { 1 };
    unsigned priority { 1 };
    // Mean number of prompt tokens that no other request shares.
    double uniqueTokens { 0 };
};

// A context that receives a fraction of all requests for a while.
struct HotContext {
    double share { 0 };
    double fromSecond { 0 };
    double untilSecond { 0 };
};

// The first upstreams accept no new requests for a while; they may have lost their contexts afterwards.
struct UpstreamOutage {
    size_t upstreams { 0 };
    double fromSecond { 0 };
    double untilSecond { 0 };
    bool losesContexts { false };
    // The upstreams are cold when they return, which the daemons learn after this delay.
    bool isCold { false };
    double coldReportDelaySeconds { 0 };
    // The upstreams remain part of the fleet, as in a hall that operators empty. Their requests in
    // flight, soon none, still count in the mean on which the users' bound is based.
    bool countsInMean { false };
};

// Random daemons become unavailable together, again and again. Callers send to the others meanwhile.
struct DaemonOutages {
    enum class Kind : uint8_t {
        // The daemons lose their state, and their requests in flight are aborted.
        Restart,
        // The daemons stop processing, and messages to them wait.
        Pause,
    };
    Kind kind { Kind::Restart };
    // As a fraction of all daemons.
    double share { 0 };
    double fromSecond { 0 };
    double durationSeconds { 0 };
    double intervalSeconds { 0 };
};

// The last upstreams run another version of the service, to which its requests are moved in steps. Until
// the first step they take none.
struct VersionChange {
    struct Step {
        double atSecond { 0 };
        RolloutPhase phase { RolloutPhase::Trial };
    };
    size_t newUpstreams { 0 };
    std::vector<Step> steps;
    // Each daemon learns of each step at a random time within this delay.
    double maxDelaySeconds { 0.5 };
    double share { 0.1 };
};

// A fleet, its upstreams and the load on them.
struct LoadPattern {
    size_t daemons { 295 };
    size_t upstreams { 160 };
    double requestsPerSecond { 700 };
    // Probability in percent that a request is followed at once by another one with the same context.
    unsigned batchPercent { 0 };
    std::vector<RequestClass> kinds;
    std::optional<HotContext> hot;
    // The interval between a daemon's updates on the requests in flight of all others, and the age of
    // these counts on receipt.
    Microseconds countsInterval { 1000000 };
    Microseconds countsAge { 1500000 };
    double seconds { 30 };
    // Number of requests that an upstream runs concurrently; further ones are queued.
    size_t slots { 1000 };
    // Multiplies the request rate for a while.
    double surgeFactor { 1 };
    double surgeFromSecond { 0 };
    double surgeUntilSecond { 0 };
    // The first upstreams are slower by a factor for a while.
    size_t slowUpstreams { 0 };
    double slowdownFactor { 1 };
    double slowFromSecond { 0 };
    double slowUntilSecond { 0 };
    // The daemons start before the traffic and exchange empty counts until then.
    bool startsBeforeTraffic { false };
    // Models prefill in detail: prompt lengths vary, prefill slows down the engine's other streams, and
    // a context is transferred only from an engine that has finished its prefill.
    bool modelsPrefill { false };
    // The owners of upstreams are asked before each send.
    bool asksOwners { false };
    // The holders of a context are looked up as well if it is new to the chosen upstream.
    bool asksHolders { false };
    // Latency and loss of messages between daemons.
    Microseconds messageLatency { 1000 };
    unsigned messageLossPercent { 0 };
    std::optional<UpstreamOutage> outage;
    // The rate limit for cold upstreams.
    ColdStartLimit coldStartLimit {};
    // All daemons are killed and restarted, which aborts all requests in flight.
    std::optional<double> restartAtSecond;
    std::optional<DaemonOutages> daemonOutages;
    std::optional<VersionChange> versionChange;
    // Disables the admission gate, as a baseline.
    bool admitsAll { false };
};

struct SimulationResult {
    // Counts for one second of simulated time.
    struct Second {
        size_t sent { 0 };
        // Sent to an upstream that exceeded the users' bound.
        size_t beyondBound { 0 };
        // Sent to an upstream that already held the context.
        size_t reused { 0 };
        // Requests that arrived in this second, and how many of them were refused or started in time.
        size_t arrived { 0 };
        size_t refused { 0 };
        size_t inTime { 0 };
        // Sent to the new version.
        size_t sentToNew { 0 };
    };
    // Bytes of all messages between daemons, with protocol overhead.
    double controlBytes { 0 };
    // The most requests that any cold upstream received within a second.
    size_t maxColdRequestsPerSecond { 0 };
    // Prefills of contexts that another upstream held, and contexts fetched from another upstream.
    size_t redundantPrefills { 0 };
    size_t transferredContexts { 0 };
    // Requests for which no upstream was chosen.
    size_t unplaced { 0 };
    // Requests for the new version that its upstreams had no room for, so that the old one served them.
    size_t servedByOldInstead { 0 };

    // Fractions of the requests that arrived between two seconds.
    double inTimeShare(size_t fromSecond, size_t untilSecond) const { return share(&Second::inTime, &Second::arrived, fromSecond, untilSecond); }
    double refusedShare(size_t fromSecond, size_t untilSecond) const { return share(&Second::refused, &Second::arrived, fromSecond, untilSecond); }
    double newVersionShare(size_t fromSecond, size_t untilSecond) const { return share(&Second::sentToNew, &Second::sent, fromSecond, untilSecond); }

    // The largest fraction of requests beyond the bound in any five seconds, starting at a second.
    // Windows with fewer than 20 such requests do not count, by the users' rule.
    double worstBeyondBound(size_t fromSecond = 0) const;
    double reusedShare(size_t fromSecond = 0) const { return share(&Second::reused, &Second::sent, fromSecond, seconds.size()); }

    std::vector<Second> seconds;

private:
    double share(size_t Second::*part, size_t Second::*whole, size_t fromSecond, size_t untilSecond) const;
};

// Simulates a fleet under a load pattern, with the real placement of every daemon. The result
// depends on the pattern, the bounds and the seed only.
class FleetSimulation {
public:
    FleetSimulation(LoadPattern, ServicePlacement::Bounds, uint64_t seed);

    SimulationResult simulate();

private:
    struct Event;
    struct Daemon {
        bool isAvailable { true };
        // Incremented by each restart of this daemon, which aborts its requests.
        size_t generation { 0 };
        // The messages and ends of requests that arrived while the daemon was paused.
        std::vector<Event> waitingEvents;
        std::unique_ptr<ServicePlacement> placement;
        std::unique_ptr<AdmissionGate> gate;
        std::map<size_t, size_t> inFlight;
        std::unique_ptr<PermitExchange> permitExchange;
        std::unique_ptr<HolderExchange> holderExchange;
        // If there is a change of version.
        std::unique_ptr<ExposureLimit> exposureLimit;
        std::optional<RolloutPhase> phase;
    };
    // A message between two daemons.
    struct Message {
        size_t from { 0 };
        size_t to { 0 };
        std::string bytes;
        // Whether it belongs to the holder exchange instead of the permit exchange.
        bool isForHolderExchange { false };
    };
    // A request at an engine.
    struct Request {
        size_t daemon { 0 };
        RequestClass const* kind { nullptr };
        uint64_t context { 0 };
        double arrivedAt { 0 };
        std::optional<UpstreamId> contextSource;
    };
    struct Engine {
        size_t inFlight { 0 };
        std::set<uint64_t> contexts;
        // When the prefill of each context is finished.
        std::map<uint64_t, double> contextReadyAt;
        // When all queued prefills are finished, and the total time of prefills so far.
        double prefillsUntil { 0 };
        double totalPrefillSeconds { 0 };
        std::deque<Request> waiting;
        size_t running { 0 };
        // The end of its cold phase, and the arrivals of the last second during it.
        double coldUntil { 0 };
        std::deque<double> coldArrivals;
    };
    struct Event {
        double at { 0 };
        enum class Kind : uint8_t {
            Arrival,
            End,
            Counts,
            Sample,
            Message,
            ExchangeTick,
            OutageBegin,
            OutageEnd,
            ColdReport,
            Restart,
            DaemonOutageBegin,
            DaemonOutageEnd,
            VersionStep,
        } kind { Kind::Arrival };
        size_t daemon { 0 };
        size_t upstream { 0 };
        // Of an end: when the request arrived.
        double startedAt { 0 };
        // Of an end: the engine's total prefill time when the event was scheduled.
        double totalPrefillSeconds { 0 };
        // Of a message: its number. Of a version step: its index.
        uint64_t message { 0 };
        // Of an end: the generation of its daemon when the request was sent.
        size_t generation { 0 };
        // Of an exchange tick: whether it repeats.
        bool isPeriodic { false };

        bool operator>(Event const& other) const { return at > other.at; }
    };

    void handleArrival(double now);
    void placeRequest(double now, RequestClass const&, uint64_t context);
    UpstreamRole roleForRequest(Daemon&, RequestClass const&, uint64_t context);
    bool maySendTo(Daemon const&, UpstreamRole) const;
    void scheduleVersionSteps();
    void applyVersionStep(Event const&);
    void updateRoles(Daemon&);
    bool isNew(size_t engine) const;
    RouteId routeOf(RequestClass const&) const;
    void askOwners(double now, size_t daemon, RequestClass const&, uint64_t context, UpstreamRole);
    void sendFromHolders(size_t daemon, RequestClass const&, uint64_t context, ServicePlacement::Choice const&);
    void sendTo(double now, size_t daemon, RequestClass const&, uint64_t context, std::optional<ServicePlacement::Choice> const&);
    void createPermitExchange(size_t daemon);
    void createHolderExchange(size_t daemon, std::vector<FleetPeer> const&);
    void startDaemon(size_t daemon);
    void beginOutage();
    void endOutage();
    void reportCold();
    void recordColdArrival(Engine&, double now);
    void restartDaemons();
    void abortRequests(size_t daemon);
    void beginDaemonOutage();
    void endDaemonOutage();
    bool waitsForDaemon(Event const&, size_t daemon);
    size_t drawAvailableDaemon();
    void sendMessage(double now, Message);
    void deliverMessage(Event const&);
    void tickExchanges(Event const&);
    void end(Event const&);
    void finishAtDaemon(Event const&);
    void startWaiting(size_t upstream, double now);
    void deliverCounts(Event const&);
    void sample(double now);
    uint64_t drawContext(double now, RequestClass const*& kind);
    void startRequest(size_t upstream, Request const&, double now);
    double prefillDelay(Request const&, Engine&, double now);
    double contextPrefillSeconds(Request const&, Engine&, double now);
    double contextTokens(Request const&);
    double drawAnswerSeconds(RequestClass const&);
    double drawLognormal(double mean, double spread);
    bool rescheduleIfDelayed(Event const&);
    bool isSlow(size_t upstream, double now) const;
    void recordSend(double now, Engine const&, uint64_t context);

    LoadPattern m_pattern;
    std::mt19937_64 m_random;
    // Apart from the other one, so that a pattern draws the same requests whatever daemons ask each other.
    std::mt19937_64 m_questionRandom { 1 };
    SilenceDetector m_silence;
    std::vector<Daemon> m_daemons;
    std::vector<Engine> m_engines;
    std::map<uint64_t, Message> m_messages;
    uint64_t m_lastMessageNumber { 0 };
    double m_now { 0 };
    bool m_isRunning { false };
    std::set<uint64_t> m_prefilledContexts;
    std::map<uint64_t, double> m_contextTokens;
    ServicePlacement::Bounds m_bounds;
    // Number of upstreams in the mean of requests in flight.
    size_t m_upstreamsInMean { 0 };
    size_t m_inFlight { 0 };
    // Requests in flight at each engine, sampled every 50 ms.
    std::vector<std::vector<size_t>> m_history;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    SimulationResult m_result;
};

}
