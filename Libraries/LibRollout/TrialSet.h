#pragma once

#include <LibBase/Ids.h>
#include <LibRollout/RolloutOrder.h>
#include <cstddef>
#include <vector>

namespace Stagepost {

// The least number of upstreams that take a trial's requests at a time.
constexpr size_t minTrialUpstreams = 1;

// Selects the upstreams of the new version that take requests while it has the given share: as
// many as keep each under the load that the old ones bear. All daemons select the same ones, and
// a larger share only adds to them.
std::vector<UpstreamId> selectTrialSet(RolloutId, std::vector<UpstreamId> const& newUpstreams, size_t oldUpstreamCount, double share);

// Like selectTrialSet(), for a trial: if its load is that of one upstream, two take it in turn, so that a single bad
// upstream can be told from a bad version. The part is that of the order's time.
std::vector<UpstreamId> selectTrialSetAt(double elapsedPart, RolloutId, std::vector<UpstreamId> const& newUpstreams, size_t oldUpstreamCount, double share);

}
