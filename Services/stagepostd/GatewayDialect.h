#pragma once

#include <LibBase/Result.h>
#include <LibBase/Verdict.h>
#include <LibProxy/EventFormat.h>
#include <LibProxy/HttpMessage.h>
#include <LibRouting/LoadEstimate.h>
#include <LibRouting/PromptChain.h>
#include <LibSettings/RouteTable.h>
#include <functional>
#include <optional>
#include <span>
#include <stagepostd/IncrementalSettingsParser.h>
#include <string_view>

namespace Stagepost {

// What the gateway reads from a caller's request, independent of the header fields that carry it.
struct GatewayCall {
    // Identifies this attempt of the caller; upstreams repeat it in their answers.
    std::string id;
    std::string key;
    // How long the caller still waits; empty if it does not say.
    std::optional<Milliseconds> timeLeft;
    PromptChain prompt;
    // The last event that the caller has received of a stream that it resumes.
    std::optional<uint64_t> lastEvent;
    // The id of the attempt that brought the first event of that stream; empty if the caller does not say.
    std::string firstAttempt {};
    // Whether the caller's Connection field names a field that the gateway reads or sets.
    bool namesReservedField { false };
};

// What the gateway adds to a caller's request when it sends it to an upstream.
struct GatewaySend {
    // Only this instance of the upstream may run the request.
    std::string instance;
    // Empty if the route is public.
    std::string organisation;
    unsigned priority { 5 };
    Milliseconds timeLeft { 0 };
    // The last event that the caller has received, if a stream is resumed.
    std::optional<uint64_t> lastEvent;
    // IP:PORT of another upstream from which the prompt's context may be copied.
    std::optional<std::string> contextSource;
};

// What the gateway reads from the status and the header fields of an upstream's answer.
struct UpstreamResponseInfo {
    // Set if the answer proves that the request has not run.
    std::optional<NotRunProof> notRun {};
    // The answer carries the upstream's signature. Callers do not accept answers without it.
    bool isSigned { false };
    std::optional<UpstreamLoadReport> load;
    // How much longer the upstream stays cold, if it reports that.
    std::optional<Milliseconds> coldLeft {};
    // The upstream rejects requests and asks for a backoff of this length.
    std::optional<Milliseconds> backoff {};
    // The upstream ends if it has to reject more than a few requests in a second.
    bool isBrittle { false };
    // The upstream finishes its open requests and then leaves.
    bool isLeaving { false };
};

// Translates between the gateway and the formats of the platform's configuration, of its callers
// and of its upstreams.
struct GatewayDialect {
    // Starts to parse a configuration. Only one is parsed at a time.
    std::function<IncrementalSettingsParser(SettingsText const&)> readSettings;
    // The header field that carries the request's id; answers repeat it.
    std::string idField;
    std::function<GatewayCall(HttpRequest const&)> readCall;
    std::function<HttpRequest(HttpRequest const&, GatewaySend const&)> writeCall;
    // Passes a caller's request on to another daemon, with the time that the caller still waits and
    // the last event that it has received.
    std::function<HttpRequest(HttpRequest const&, Milliseconds timeLeft, std::optional<uint64_t> lastEvent)> writeDetour;
    // The expected instance is the one that the request was addressed to; empty if it was addressed to none.
    std::function<UpstreamResponseInfo(unsigned status, HttpFields const&, std::string_view expectedInstance)> readResponseHeader;
    // The fields of an upstream's answer that its Connection field can't make connection-specific.
    std::span<std::string_view const> endToEndResponseFields {};
    // The form of the events that upstreams send in streams.
    EventFormat eventFormat {};
};

}
