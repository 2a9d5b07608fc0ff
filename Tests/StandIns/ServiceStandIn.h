#pragma once

#include <StandIns/StandInServer.h>
#include <map>
#include <string>

namespace Stagepost::StandIns {

// A plain service that counts the executions of each call, which its X-Call header names, and
// responds with that name and count.
//   GET /runs                    the counts as JSON
//   POST /faults {"mode":"..."}  see Mode
class ServiceStandIn {
public:
    enum class Mode {
        Normal,
        // Executes the call and closes the connection without a response.
        DropAfterExecution,
        // Sends a second, unsolicited response shortly after the first.
        UnsolicitedResponse,
        // Sends no response; the connection is closed after ten minutes.
        Hang,
        // Sends half of the announced body and closes the connection.
        TruncatedResponse,
    };

    explicit ServiceStandIn(EventLoop&);
    Endpoint listen(Endpoint const& endpoint) { return m_server.listen(endpoint); }
    void stopListening() { m_server.stopListening(); }

    void setMode(Mode mode) { m_mode = mode; }
    void setDelay(Milliseconds delay) { m_delay = delay; }
    // Whether responses carry the X-Request-Id of their request, without which a connection is not reused.
    void setEchoesRequestId(bool echoes) { m_echoesRequestId = echoes; }
    std::map<std::string, unsigned> const& executions() const { return m_executions; }

private:
    Net::awaitable<bool> handle(TcpStream&, Request&);
    Net::awaitable<bool> execute(TcpStream&, Request&);

    Mode m_mode { Mode::Normal };
    Milliseconds m_delay { 0 };
    bool m_echoesRequestId { true };
    std::map<std::string, unsigned> m_executions;
    StandInServer m_server;
};

}
