#pragma once

#include <LibProxy/EventProgress.h>
#include <LibProxy/ForwardResult.h>
#include <stagepostd/EventNumberings.h>

namespace Stagepost {

// Records what the end of a send of a stream shows of the numbering of its events, and logs what follows from it.
void learnNumbering(EventNumberings&, EventNumberings::Key const&, UpstreamId, ForwardResult const&, EventProgress const&);

}
