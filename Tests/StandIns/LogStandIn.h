#pragma once

#include <StandIns/StandInServer.h>
#include <deque>
#include <map>
#include <string>

namespace Stagepost::StandIns {

// The platform's append-only log. Each stream keeps a limited number of its last records and
// addresses them by offset. Tests can inject the faults of the real log.
//   POST /v1/streams/NAME/records, GET /v1/streams/NAME/records?from=&max=&wait_ms=
//   POST /faults {"down":bool,"lose_replies":bool,"delay_ms":N,"keep":N,"lose_last":N}
//   GET /appends                 the number of appends to all streams
class LogStandIn {
public:
    struct Faults {
        // Closes connections without a response.
        bool isDown { false };
        // Appends the record, but closes the connection without a response.
        bool losesReplies { false };
        // The delay before an append takes effect; its response follows at once.
        Milliseconds delay { 0 };
        // The number of records that each stream retains.
        size_t maxRecords { 100000 };
    };

    // Simulates a restore from a backup that lacks the last records of each stream.
    void dropLastRecords(size_t records);

    explicit LogStandIn(EventLoop&);
    Endpoint listen(Endpoint const& endpoint) { return m_server.listen(endpoint); }

    Faults& faults() { return m_faults; }
    uint64_t appends() const { return m_appends; }
    uint64_t append(std::string const& stream, std::string record);
    size_t streamSize(std::string const& stream) { return m_streams[stream].records.size(); }

private:
    struct Stream {
        uint64_t firstOffset { 0 };
        std::deque<std::string> records;
        uint64_t nextOffset() const { return firstOffset + records.size(); }
    };

    Net::awaitable<bool> handle(TcpStream&, Request&);
    Net::awaitable<bool> handleAppend(TcpStream&, Request&, std::string const& name);
    Net::awaitable<bool> handleRead(TcpStream&, Request&, std::string const& name);
    std::string recordsFrom(std::string const& name, uint64_t from, uint64_t maxRecords);
    void applyFaults(std::string const& body);

    Faults m_faults;
    uint64_t m_appends { 0 };
    std::map<std::string, Stream> m_streams;
    uint64_t m_restores { 0 };
    StandInServer m_server;
};

}
