#pragma once

#include <LibBase/Result.h>
#include <LibProxy/HttpMessage.h>
#include <LibRouting/LoadEstimate.h>
#include <LibRouting/PromptChain.h>
#include <LibSettings/RouteTable.h>
#include <functional>
#include <optional>
#include <stagepostd/SettingsSteps.h>

namespace Stagepost {

// What a caller's request says of itself, whatever fields it said it in.
struct GatewayCall {
    // Names this one attempt of the caller; upstreams repeat it in their answers.
    std::string id;
    std::string key;
    // How long the caller still waits; none where it does not say.
    std::optional<Milliseconds> timeLeft;
    PromptChain prompt;
    // The last event of an earlier stream that the caller has.
    std::optional<uint64_t> lastEvent;
};

// What an upstream is told besides the caller's own request.
struct GatewaySend {
    // The one start of the upstream's process that may run the request.
    std::string instance;
    // Empty where the route is public.
    std::string organisation;
    unsigned priority { 5 };
    Milliseconds timeLeft { 0 };
    // The last event that the caller has, where a stream is taken up.
    std::optional<uint64_t> lastEvent;
    // IP:PORT of another upstream that may hold what this one lacks of the prompt.
    std::optional<std::string> contextSource;
};

// What the head of an upstream's answer says.
struct GatewayAnswerHead {
    // The upstream says that it has not run the request.
    bool isNotRun { false };
    // The answer carries the upstream's signature, without which callers do not
    // count it as one.
    bool isSigned { false };
    std::optional<UpstreamLoadReport> load;
    // How much longer the upstream stays cold, where it says so.
    std::optional<Milliseconds> coldLeft {};
    // The upstream turns requests away, and wants nothing from this daemon for so long.
    std::optional<Milliseconds> restFor {};
    // The upstream finishes what it has and leaves.
    bool isLeaving { false };
};

// How the platform, its callers and its upstreams spell what the gateway needs.
struct GatewayDialect {
    // One reading at a time.
    std::function<SettingsSteps(SettingsText const&)> readSettings;
    // The field in which requests carry their ids and answers repeat them.
    std::string idField;
    std::function<GatewayCall(HttpCall const&)> readCall;
    std::function<HttpCall(HttpCall const&, GatewaySend const&)> writeCall;
    std::function<GatewayAnswerHead(unsigned status, HttpFields const&)> readAnswerHead;
};

}
