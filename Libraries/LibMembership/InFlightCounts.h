#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Result.h>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Stagepost {

// The number of requests that one or more daemons have in flight at an upstream.
struct UpstreamInFlight {
    UpstreamId upstream;
    uint64_t count { 0 };
};

// Requests in flight by upstream, for summing.
using InFlightTotals = std::unordered_map<UpstreamId, uint64_t>;

// Upstreams in a fixed order: daemons with the same records have the same list.
using UpstreamList = std::vector<UpstreamId>;

// Encodes the counts of all upstreams of a list compactly enough for every message between
// daemons: one byte per upstream, in the list's order, and two bytes per run of up to 255
// upstreams without requests. Counts saturate at 255, since an upstream with that many
// requests is full in any case. Upstreams that aren't in the list are omitted.
std::string packCounts(UpstreamList const& list, InFlightTotals const&);

// Returns the upstreams with requests in flight, in the list's order. Error: Malformed, if
// the bytes don't match the length of the list.
Result<std::vector<UpstreamInFlight>> unpackCounts(UpstreamList const& list, std::string_view packed);

}
