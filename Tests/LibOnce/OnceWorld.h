#pragma once

#include <LibOnce/Once.h>
#include <Measure/Placement/EventQueue.h>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Stagepost::Tests {

// Daemons with claim gates and ticket books, a log and an upstream, all of which
// fail at random: appends take effect late, their replies get lost, the log goes
// down, daemons stop between any two steps or restart with nothing remembered,
// the upstream runs a call and its answer is lost. Seeded, on a manual clock.
class OnceWorld {
public:
    struct Options {
        uint64_t seed { 1 };
        size_t daemons { 3 };
        // Of each kind of fault, in a thousand.
        unsigned faultsPerThousand { 80 };
        // Off, every daemon runs what it is asked to: what the guard is there for.
        bool isGuarded { true };
        // The log comes back from copies now and then that lack its last records.
        bool losesRecords { false };
    };
    struct Counts {
        uint64_t calls { 0 };
        uint64_t faulted { 0 };
        uint64_t duplicates { 0 };
        uint64_t wrongVerdicts { 0 };
        uint64_t ran { 0 };
        uint64_t replayed { 0 };
        uint64_t notRun { 0 };
        uint64_t mayHaveRun { 0 };
        uint64_t unanswered { 0 };
    };

    explicit OnceWorld(Options);

    // Sends that many keyed calls and as many ticketed ones, each of them several
    // times through random daemons, and lets everything come to an end.
    Counts run(size_t keys);

private:
    struct Daemon {
        uint64_t life { 0 };
        std::unique_ptr<ClaimGate> gate;
        std::unique_ptr<Authenticator> authenticator;
        std::unique_ptr<TicketRegistry> tickets;
    };
    // One sending of one call.
    struct Submission {
        std::string call;
        bool hasRun { false };
        bool wasToldNotRun { false };
        bool isAnswered { false };
        bool isFaulted { false };
    };

    bool fault();
    Microseconds someTime(int64_t mostMicroseconds);
    void restart(size_t daemon);
    void submitKey(size_t key, int resends);
    void submitTicket(std::string const& ticket, std::string const& call, int resends);
    void decideKey(size_t daemon, std::shared_ptr<Submission> const&, IdempotencyKey const&, ClaimGate::Decision const&);
    void execute(size_t daemon, std::shared_ptr<Submission> const&, std::function<void(Verdict)> finished);
    void answer(std::shared_ptr<Submission> const&, Verdict);
    void append(std::string const& stream, std::string record, std::function<void(Result<Offset>)> const& callback);
    void read(std::string const& stream, Offset from, std::function<void(Result<ClaimGate::ReadResult>)> const& callback);
    void tick();
    void loseRecords();

    Options m_options;
    std::mt19937_64 m_random;
    Measure::EventQueue m_events;
    std::vector<Daemon> m_daemons;
    std::map<std::string, std::vector<std::string>> m_streams;
    std::map<std::string, unsigned> m_runs;
    std::vector<std::shared_ptr<Submission>> m_submissions;
    bool m_isLogDown { false };
    uint64_t m_returns { 0 };
    Counts m_counts;
};

}
