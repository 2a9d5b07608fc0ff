#pragma once

// Boost.Asio types and helpers, for LibProxy itself, the stand-ins and the measurements. The
// library's public headers do not include this header.

#include <LibProxy/Endpoint.h>
#include <LibProxy/EventLoop.h>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>

namespace Stagepost {

// The most bytes of a message that are read before they can be parsed. Neither the size of a chunk nor a
// trailer has a limit in Beast, and a header may take some tens of kilobytes.
constexpr size_t maxUnparsedBytes = 256u << 10;

namespace Net = boost::asio;
namespace Beast = boost::beast;
namespace Http = boost::beast::http;

using TcpStream = Beast::tcp_stream;
using Tcp = Net::ip::tcp;
using Udp = Net::ip::udp;
using NetError = boost::system::error_code;

// Asio waits on the kernel's steady clock and checks expiry on MonotonicClock. After a suspension of the
// VM a timer may therefore fire late, by up to the wait that was left. Asio checks all timers whenever one
// fires, so the daemon's tick of 50 ms bounds the delay.
using ClockTimer = Net::basic_waitable_timer<MonotonicClock>;

// The clock of Beast's stream timeouts. It stops during a suspension of the VM, so the suspension is not
// counted as a stalled transfer.
using TransferClock = std::chrono::steady_clock;

// Makes awaited operations return their error code instead of throwing it.
constexpr auto useTuple = Net::as_tuple(Net::use_awaitable);

struct EventLoop::Native {
    Net::io_context context { 1 };
    std::list<Net::signal_set> signals;
};

template <typename Protocol>
typename Protocol::endpoint toNativeEndpoint(Endpoint const& endpoint)
{
    return { Net::ip::make_address(endpoint.address), endpoint.port };
}

template <typename NativeEndpoint>
Endpoint toEndpoint(NativeEndpoint const& native)
{
    return { native.address().to_string(), native.port() };
}

}
