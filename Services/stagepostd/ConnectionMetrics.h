#pragma once

#include <LibBase/Metrics.h>
#include <LibProxy/ForwardResult.h>

namespace Stagepost {

// Counts the connections to upstreams that were not kept, by how and why they ended.
void countConnectionEnd(Metrics&, ForwardResult const&);

}
