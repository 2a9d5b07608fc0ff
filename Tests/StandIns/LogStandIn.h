#pragma once

#include <StandIns/StandInServer.h>
#include <deque>
#include <map>
#include <string>

namespace Stagepost::StandIns {

// The platform's append-only log: streams of records with offsets, kept for a
// limited number of records, with the faults that the real one has.
//   POST /v1/streams/NAME/records, GET /v1/streams/NAME/records?from=&max=&wait_ms=
//   POST /faults {"down":bool,"lose_replies":bool,"delay_ms":N,"keep":N}
class LogStandIn {
public:
    struct Faults {
        // Answers nothing.
        bool isDown { false };
        // Appends, but closes the connection instead of answering.
        bool losesReplies { false };
        // The time that an append takes to take effect, and its reply after that.
        Milliseconds delay { 0 };
        // How many records of a stream are kept.
        size_t keep { 100000 };
    };

    // Comes back from a copy that lacks the last records of each stream.
    void loseLast(size_t records);

    explicit LogStandIn(EventLoop&);
    Endpoint listen(Endpoint const& endpoint) { return m_server.listen(endpoint); }

    Faults& faults() { return m_faults; }
    uint64_t appends() const { return m_appends; }
    uint64_t append(std::string const& stream, std::string record);
    size_t streamSize(std::string const& stream) { return m_streams[stream].records.size(); }

private:
    struct Stream {
        uint64_t first { 0 };
        std::deque<std::string> records;
        uint64_t next() const { return first + records.size(); }
    };

    Net::awaitable<bool> handle(TcpStream&, Request&);
    Net::awaitable<bool> handleAppend(TcpStream&, Request&, std::string const& name);
    Net::awaitable<bool> handleRead(TcpStream&, Request&, std::string const& name);
    std::string recordsFrom(std::string const& name, uint64_t from, uint64_t most);
    void takeFaults(std::string const& body);

    Faults m_faults;
    uint64_t m_appends { 0 };
    std::map<std::string, Stream> m_streams;
    uint64_t m_returns { 0 };
    StandInServer m_server;
};

}
