#pragma once

#include <LibBase/Metrics.h>
#include <LibProxy/ForwardResult.h>

namespace Stagepost {

// Counts the connections to upstreams that were not kept, by how and why they ended, and the event streams with foreign bytes.
void countForwardEnd(Metrics&, ForwardResult const&);

}
