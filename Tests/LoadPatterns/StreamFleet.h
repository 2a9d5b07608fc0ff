#pragma once

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

// Requests of one kind that come back to contexts, as a share of all requests.
struct StreamKind {
    double share { 1 };
    size_t contexts { 100 };
    // How long an answer takes where the upstream holds the context.
    double holdSeconds { 1 };
    double contextTokens { 1000 };
    // Within which an answer is to begin.
    double objectiveSeconds { 1 };
    unsigned priority { 1 };
    // Of each prompt what no other shares, in the mean.
    double ownTokens { 0 };
};

// One context that draws a share of all requests for a while.
struct HotContext {
    double share { 0 };
    double fromSecond { 0 };
    double untilSecond { 0 };
};

// The first upstreams take no requests for a while, and may come back with nothing.
struct Absence {
    size_t upstreams { 0 };
    double fromSecond { 0 };
    double untilSecond { 0 };
    bool losesContexts { false };
    // They come back cold, which daemons learn after that long.
    bool isCold { false };
    double coldToldAfterSeconds { 0 };
    // They stay where they are, as those of a hall that operators empty: what they still hold,
    // and that they soon hold nothing, counts in the mean by which the users judge.
    bool countsInMean { false };
};

// A fleet, its upstreams and the load on them.
struct StreamPattern {
    size_t daemons { 295 };
    size_t upstreams { 160 };
    double requestsPerSecond { 700 };
    // Of a hundred requests, so many bring another one of the same context along.
    unsigned clumpShare { 0 };
    std::vector<StreamKind> kinds;
    std::optional<HotContext> hot;
    // How often a daemon is told what all others have in flight, and how old that
    // is when it arrives.
    Microseconds countsInterval { 1000000 };
    Microseconds countsAge { 1500000 };
    double seconds { 30 };
    // How many requests an upstream runs at once; the others wait for their turn.
    size_t places { 1000 };
    // All traffic, so many times as strong for a while.
    double surge { 1 };
    double surgeFrom { 0 };
    double surgeUntil { 0 };
    // Of the upstreams, so many are so many times slower for a while.
    size_t slowUpstreams { 0 };
    double slowness { 1 };
    double slowFrom { 0 };
    double slowUntil { 0 };
    // The daemons are there for a while before any traffic comes, and tell of nothing.
    bool runsBeforeTraffic { false };
    // Prompts vary in length, what an engine reads holds up its other streams, and a
    // context is copied only from where it has been read whole.
    bool readsLikeEngines { false };
    // Upstreams' owners are asked before each send; messages take so long, and of a
    // hundred so many are lost.
    bool asksOwners { false };
    // Who holds a context that is new to its upstream is asked as well.
    bool asksHolders { false };
    Microseconds messageTime { 1000 };
    unsigned lostMessages { 0 };
    std::optional<Absence> absence;
    // What upstreams take while they are cold.
    ColdStartLimit coldBound {};
    // All daemons are killed and start again; what was in flight is broken off.
    std::optional<double> restartAt;
    // Lets everybody in, as a policy to compare with.
    bool isUngated { false };
};

struct StreamOutcome {
    // Of each second.
    struct Second {
        size_t sent { 0 };
        // Sent to an upstream that held more than the users' bound.
        size_t beyondBound { 0 };
        // Sent to an upstream that had read the context before.
        size_t reused { 0 };
        // Asked for in that second, and what became of it.
        size_t asked { 0 };
        size_t refused { 0 };
        size_t inTime { 0 };
    };
    // Of messages about requests in flight, with all that the network adds.
    double ledgerBytes { 0 };
    // What any upstream got in any second while it was cold.
    size_t mostInAColdSecond { 0 };
    // Contexts that were read again though an upstream held them, and those that were copied.
    size_t readThoughHeld { 0 };
    size_t copied { 0 };
    // No upstream took it.
    size_t unplaced { 0 };

    // Of what was asked for from one second to another.
    double inTimeShare(size_t fromSecond, size_t untilSecond) const { return share(&Second::inTime, &Second::asked, fromSecond, untilSecond); }
    double refusedShare(size_t fromSecond, size_t untilSecond) const { return share(&Second::refused, &Second::asked, fromSecond, untilSecond); }

    // The largest share beyond the bound of any five seconds, from one second on. A few
    // requests do not count, as the users' rule has it.
    double worstBeyondBound(size_t fromSecond = 0) const;
    double reusedShare(size_t fromSecond = 0) const { return share(&Second::reused, &Second::sent, fromSecond, seconds.size()); }

    std::vector<Second> seconds;

private:
    double share(size_t Second::*part, size_t Second::*whole, size_t fromSecond, size_t untilSecond) const;
};

// Plays the pattern against the placement of every daemon of the fleet. The same
// seed gives the same outcome.
class StreamFleet {
public:
    StreamFleet(StreamPattern, ServicePlacement::Bounds, uint64_t seed);

    StreamOutcome play();

private:
    struct Daemon {
        std::unique_ptr<ServicePlacement> placement;
        std::unique_ptr<AdmissionGate> gate;
        std::map<size_t, size_t> inFlight;
        std::unique_ptr<PermitExchange> ledger;
        std::unique_ptr<HolderExchange> holders;
    };
    // Between two daemons.
    struct Message {
        size_t from { 0 };
        size_t to { 0 };
        std::string bytes;
        // Of the exchange about holders, and not of the ledger.
        bool isOfHolders { false };
    };
    // A request at an engine.
    struct Request {
        size_t daemon { 0 };
        StreamKind const* kind { nullptr };
        uint64_t context { 0 };
        double arrivedAt { 0 };
        std::optional<UpstreamId> contextSource;
    };
    struct Engine {
        size_t inFlight { 0 };
        std::set<uint64_t> contexts;
        // Until when each context is being read.
        std::map<uint64_t, double> readAt;
        // Until when it reads, and how long it has read in all.
        double readsUntil { 0 };
        double readSeconds { 0 };
        std::deque<Request> waiting;
        size_t running { 0 };
        // Until when it is cold, and what it got since.
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
            LedgerTick,
            Leave,
            Return,
            ColdTold,
            Restart,
        } kind { Kind::Arrival };
        size_t daemon { 0 };
        size_t upstream { 0 };
        // Of an end: when the request arrived.
        double startedAt { 0 };
        // Of an end: how long the engine had read in all when it was foreseen.
        double readSeconds { 0 };
        // Of a message: its number.
        uint64_t message { 0 };
        // Of an end: of which life of the daemons it is.
        size_t life { 0 };
        // Of a tick of a ledger: whether it comes again.
        bool isRegular { false };

        bool operator>(Event const& other) const { return at > other.at; }
    };

    void arrive(double now);
    void place(double now, StreamKind const&, uint64_t context);
    void askOwners(double now, size_t daemon, StreamKind const&, uint64_t context);
    void sendFromHolders(size_t daemon, StreamKind const&, uint64_t context, ServicePlacement::Choice const&);
    void sendTo(double now, size_t daemon, StreamKind const&, uint64_t context, std::optional<ServicePlacement::Choice> const&);
    void addLedger(size_t daemon);
    void addHolders(size_t daemon, std::vector<FleetPeer> const&);
    void startDaemon(size_t daemon);
    void leave();
    void comeBack();
    void tellCold();
    void noteArrival(Engine&, double now);
    void restartAll();
    void post(double now, Message);
    void deliver(Event const&);
    void tickLedger(Event const&);
    void end(Event const&);
    void tellCounts(Event const&);
    void sample(double now);
    uint64_t drawContext(double now, StreamKind const*& kind);
    void run(size_t upstream, Request const&, double now);
    double readingOf(Request const&, Engine&, double now);
    double readingOfContext(Request const&, Engine&, double now);
    double contextTokens(Request const&);
    double lengthOf(StreamKind const&);
    double drawLength(double mean, double spread);
    bool isHeldUp(Event const&);
    bool isSlow(size_t upstream, double now) const;
    void judge(double now, Engine const&, uint64_t context);

    StreamPattern m_pattern;
    std::mt19937_64 m_random;
    SilenceDetector m_silence;
    std::vector<Daemon> m_daemons;
    std::vector<Engine> m_engines;
    std::map<uint64_t, Message> m_messages;
    uint64_t m_lastMessage { 0 };
    double m_now { 0 };
    std::set<uint64_t> m_everRead;
    std::map<uint64_t, double> m_contextTokens;
    ServicePlacement::Bounds m_bounds;
    size_t m_life { 0 };
    // Upstreams that take requests.
    size_t m_present { 0 };
    size_t m_inFlight { 0 };
    // What all engines held, every twentieth of a second.
    std::vector<std::vector<size_t>> m_history;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    StreamOutcome m_outcome;
};

}
