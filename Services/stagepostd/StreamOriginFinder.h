#pragma once

#include <LibBase/Metrics.h>
#include <LibBase/TokenBucket.h>
#include <LibProxy/Timer.h>
#include <LibRouting/Routing.h>
#include <memory>

namespace Stagepost {

// Access to the log in the platform's store that keeps records of where streams began. Empty by default.
struct StreamOriginLogHooks {
    // Appends the record to the log, for this daemon or another one.
    std::function<void(StreamOriginRecord const&)> append { [](StreamOriginRecord const&) {} };
    // This daemon was suspended and has missed records, which the log may have.
    std::function<void()> readAgain { [] {} };
};

// Logs and counts that a caller takes up a stream here, and what told its version. The request names the attempt that began it.
void reportStreamTakenUp(Metrics&, std::string const& requestId, std::string const& firstAttempt, StreamOriginExchange::Origin const&);

// Finds at which version a stream began, once this daemon has joined and knows the others: what is asked before waits
// a little. Brings the records to the store's log, and takes those that it returns.
class StreamOriginFinder {
public:
    struct Hooks {
        StreamOriginExchange::Hooks exchange;
        // See StreamOriginLogRelay.
        std::function<std::optional<VMId>()> appender;
        std::function<void(VMId to, std::string const& bytes)> sendToAppender;
        StreamOriginLogHooks log;
        // An earlier time than before may be the next timeout.
        std::function<void()> queriesSent;
    };

    StreamOriginFinder(EventLoop&, Metrics&, Hooks);

    // Does nothing if this daemon had joined already.
    void join(FleetPeer const& self);
    void setPeers(std::vector<FleetPeer> const&);
    void peerStarted(VMId);

    // See StreamOriginExchange. Before this daemon has joined and knows the others, origins are found a
    // little later, or not at all.
    void record(StreamId, std::string const& service, VersionId, Microseconds lifetime);
    void find(StreamId, std::string const& service, StreamOriginExchange::Callback);
    // Adds records that the log has returned.
    void restore(std::vector<StreamOriginRecord> const&);
    // This daemon was suspended or cut off and may have lost messages.
    void restart();

    // These return false if the message is malformed, or if this daemon has not joined.
    bool receive(VMId from, std::string_view body);
    bool receiveForLog(std::string_view body);
    void tick();
    std::optional<Instant> nextTimeout() const { return m_exchange ? m_exchange->nextTimeout() : std::nullopt; }

private:
    void findWaiting();
    void reportContradiction(StreamOriginContradiction const&);

    EventLoop& m_loop;
    Metrics& m_metrics;
    Hooks m_hooks;
    StreamOriginLogRelay m_logRelay;
    // Null before this daemon has joined.
    std::unique_ptr<StreamOriginExchange> m_exchange;
    // Records of streams that began before this daemon has joined.
    std::vector<std::function<void()>> m_waitingRecords;
    // Until this daemon knows the others.
    std::vector<std::function<void()>> m_waiting;
    Timer m_waitingTimer;
    TokenBucket m_contradictionLines;
    // What the log has returned before this daemon has joined.
    std::vector<StreamOriginRecord> m_restored;
};

}
