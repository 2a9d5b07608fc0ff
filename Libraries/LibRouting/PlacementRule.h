#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Stagepost {

// The rule by which an upstream was chosen.
enum class PlacementRule : uint8_t {
    // The request has no context: the upstream with the shortest expected wait.
    Wait,
    // The first upstream in the context's rendezvous order whose expected load is below its limit.
    Count,
    // The first upstream in rendezvous order, or another one for requests beyond its AcceptedShare.
    Share,
    // An upstream whose owner granted the request.
    Granted,
    // The least loaded of the upstreams whose owners were asked, none of which granted the request.
    Least,
    // No other upstream is available: a trial request to one that is backing off.
    Resting,
};

std::string_view nameOf(PlacementRule);

// The inputs of a placement decision, for the log.
struct PlacementReason {
    PlacementRule rule { PlacementRule::Wait };
    // Mean age of the other daemons' in-flight counts.
    Microseconds countsAge { 0 };
    // Mean time for which an upstream holds a request.
    Microseconds hold { 0 };
    // Number of asks sent to upstream owners.
    size_t asks { 0 };
    // The owner's count of requests at the upstream, and the count below which it grants another.
    size_t counted { 0 };
    size_t limit { 0 };
    // The owner that the count is from.
    VMId owner {};
    // The mean load from which the limit was derived.
    double mean { 0 };
};

}
