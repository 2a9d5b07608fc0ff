#pragma once

// The public header of LibProxy: HTTP between callers and upstreams, datagrams
// between daemons, and the event loop that carries both. None of it includes
// Boost.Asio, so that embedding it does not cost its compile time.

#include <LibProxy/DatagramSocket.h>
#include <LibProxy/Endpoint.h>
#include <LibProxy/EventLoop.h>
#include <LibProxy/EventProgress.h>
#include <LibProxy/EventSplitter.h>
#include <LibProxy/Exchange.h>
#include <LibProxy/ForwardPlan.h>
#include <LibProxy/ForwardResult.h>
#include <LibProxy/HttpClient.h>
#include <LibProxy/HttpMessage.h>
#include <LibProxy/HttpServer.h>
#include <LibProxy/PortProbe.h>
#include <LibProxy/Timer.h>
