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

// Simulates daemons with claim gates and ticket registries, a log and an upstream, and injects
// random faults: appends take effect late, their replies are lost, the log is unavailable,
// daemons pause between any two steps or restart without state, and the response of a call
// that ran is lost. A seed determines every run; time is simulated.
class OnceSimulation {
public:
    struct Options {
        uint64_t seed { 1 };
        size_t daemons { 3 };
        // The probability of each kind of fault, per thousand.
        unsigned faultsPerThousand { 80 };
        // Without it every daemon runs each call that it receives. Shows that the simulation
        // detects duplicates and wrong verdicts.
        bool enforcesAtMostOnce { true };
        // The log is restored at random times from backups that lack its last records.
        bool restoresFromBackups { false };
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

    explicit OnceSimulation(Options);

    // Submits this many calls with idempotency keys and as many with tickets, retries each of
    // them several times at random daemons, and runs until every attempt has expired.
    Counts run(size_t keys);

private:
    struct Daemon {
        uint64_t incarnation { 0 };
        std::unique_ptr<ClaimGate> gate;
        std::unique_ptr<Authenticator> authenticator;
        std::unique_ptr<TicketRegistry> tickets;
    };
    // One attempt to have a call run.
    struct Submission {
        std::string call;
        bool hasRun { false };
        bool wasToldNotRun { false };
        bool isAnswered { false };
        bool isFaulted { false };
    };

    bool injectsFault();
    Microseconds randomDuration(int64_t maxMicroseconds);
    void restart(size_t daemon);
    void submitKey(size_t key, int retries);
    void submitTicket(std::string const& ticket, std::string const& call, int retries);
    void decideKey(size_t daemon, std::shared_ptr<Submission> const&, IdempotencyKey const&, ClaimGate::Decision const&);
    void execute(size_t daemon, std::shared_ptr<Submission> const&, std::function<void(Verdict)> finished);
    void recordVerdict(std::shared_ptr<Submission> const&, Verdict);
    void append(std::string const& stream, std::string record, std::function<void(Result<Offset>)> const& callback);
    void read(std::string const& stream, Offset from, std::function<void(Result<ClaimGate::ReadResult>)> const& callback);
    void tick();
    void restoreFromBackup();

    Options m_options;
    std::mt19937_64 m_random;
    Measure::EventQueue m_events;
    std::vector<Daemon> m_daemons;
    std::map<std::string, std::vector<std::string>> m_streams;
    std::map<std::string, unsigned> m_runs;
    std::vector<std::shared_ptr<Submission>> m_submissions;
    bool m_isLogDown { false };
    uint64_t m_restoreCount { 0 };
    Counts m_counts;
};

}
