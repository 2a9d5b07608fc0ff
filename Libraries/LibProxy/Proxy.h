#pragma once

// The public header of LibProxy: HTTP between clients and upstreams, UDP datagrams
// between daemons, and the event loop for both. It does not include Boost.Asio, which
// keeps the compile times of its users short.

#include <LibProxy/ClientLimits.h>
#include <LibProxy/ClientMemory.h>
#include <LibProxy/DatagramSocket.h>
#include <LibProxy/Endpoint.h>
#include <LibProxy/EventFormat.h>
#include <LibProxy/EventLoop.h>
#include <LibProxy/EventProgress.h>
#include <LibProxy/EventReader.h>
#include <LibProxy/Exchange.h>
#include <LibProxy/ForwardPlan.h>
#include <LibProxy/ForwardResult.h>
#include <LibProxy/HttpBody.h>
#include <LibProxy/HttpClient.h>
#include <LibProxy/HttpMessage.h>
#include <LibProxy/HttpServer.h>
#include <LibProxy/PortProbe.h>
#include <LibProxy/Timer.h>
