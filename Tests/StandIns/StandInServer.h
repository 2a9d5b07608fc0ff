#pragma once

#include <LibProxy/Detail/Native.h>
#include <functional>
#include <memory>

namespace Stagepost::StandIns {

using Request = Http::request<Http::string_body>;
using Response = Http::response<Http::string_body>;

// A small HTTP server for stand-ins. The handler writes to the connection itself, so that it can
// violate the protocol as a test requires.
class StandInServer {
public:
    // Returns whether the connection can carry another request.
    using Handler = std::function<Net::awaitable<bool>(TcpStream&, Request&)>;

    StandInServer(EventLoop&, Handler);
    ~StandInServer();
    StandInServer(StandInServer const&) = delete;
    StandInServer& operator=(StandInServer const&) = delete;

    // Binds an ephemeral port if the endpoint's port is 0. Exits the process if the address cannot be bound.
    Endpoint listen(Endpoint const&);
    // Closes the listening socket; open connections stay open.
    void stopListening();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

Response jsonResponse(Request const&, unsigned status, std::string body);
Net::awaitable<bool> send(TcpStream&, Response);
Net::awaitable<void> sleepFor(Milliseconds);

// The value of a numeric query parameter, or the fallback if it is absent or not a number.
uint64_t queryNumber(Request const&, std::string_view name, uint64_t fallback);

}
