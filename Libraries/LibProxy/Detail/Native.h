#pragma once

// The Boost.Asio side of the library; only its own .cpp files include this.

#include <LibProxy/Endpoint.h>
#include <LibProxy/EventLoop.h>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>

namespace Stagepost {

namespace Net = boost::asio;
namespace Beast = boost::beast;
namespace Http = boost::beast::http;

using TcpStream = Beast::tcp_stream;
using Tcp = Net::ip::tcp;
using Udp = Net::ip::udp;
using NetError = boost::system::error_code;

// Waits on the kernel's steady clock, and decides on ours: after a suspension it fires late by what was
// left to wait, which other timers cut to a tick (50 ms).
using ClockTimer = Net::basic_waitable_timer<MonotonicClock>;

// Beast's streams count their time-outs on it. What they bound is how long a transfer makes no progress,
// and a suspension is no fault of the other end's.
using TransferClock = std::chrono::steady_clock;

// Completions give the error as a value instead of throwing it.
constexpr auto useTuple = Net::as_tuple(Net::use_awaitable);

struct EventLoop::Native {
    Net::io_context context { 1 };
    std::list<Net::signal_set> signals;
};

template <typename Protocol>
typename Protocol::endpoint nativeEndpoint(Endpoint const& endpoint)
{
    return { Net::ip::make_address(endpoint.address), endpoint.port };
}

template <typename NativeEndpoint>
Endpoint endpointOf(NativeEndpoint const& native)
{
    return { native.address().to_string(), native.port() };
}

}
