#pragma once

#include <LibBase/Result.h>
#include <LibBase/Time.h>
#include <LibProxy/Endpoint.h>
#include <LibProxy/HttpServer.h>
#include <string>

namespace Stagepost {

// Options of the daemon, from its flags and environment variables.
struct Options {
    std::string name;
    std::string hall;
    Endpoint listen;
    Endpoint peerListen;
    Endpoint log;
    Endpoint vmList;
    std::string key;
    std::string operatorToken;
    std::string logLevel { "info" };
    // How long a draining daemon still accepts requests, so that the load balancer notices in time.
    Milliseconds drainGrace { 2000 };
    // How long a draining daemon waits for open requests after the grace period.
    Milliseconds drainLimit { 600000 };
    HttpServerOptions http;
    // What clients may take of the machine.
    ClientLimits clients;

    // If set, the process prints the message (the help or the version) and exits.
    bool printsMessage { false };
    std::string message;

    // Error: BadInput, with a text that names the flag and what is wrong with it.
    static Result<Options> parse(int argc, char const* const* argv);
};

}
