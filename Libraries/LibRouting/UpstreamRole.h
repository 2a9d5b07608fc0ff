#pragma once

#include <cstdint>

namespace Stagepost {

// Which requests an upstream takes while its service is moved to a new version.
enum class UpstreamRole : uint8_t {
    // Takes requests as usual.
    Serving,
    // Runs a version that is being tried, and takes only the requests that are meant for it.
    Candidate,
    // Takes no requests. Contexts can still be copied from it.
    Excluded,
};

}
