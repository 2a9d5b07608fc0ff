#pragma once

#include <LibRouting/StreamOriginMessage.h>
#include <vector>

namespace Stagepost {

// Records of where streams began, as daemons pass them on and as the store's log keeps them. A batch doesn't say when it was
// written, since clocks of VMs differ: whoever reads it counts the lifetimes from then, so that no record ends too early.
class StreamOriginBatch {
public:
    // A batch has at most 50 KB.
    static constexpr size_t maxRecords { 2000 };

    // Encodes at most maxRecords.
    static std::string encode(std::vector<StreamOriginRecord> const&);
    // Error: Malformed, also for a format of a later version.
    static Result<std::vector<StreamOriginRecord>> decode(std::string_view bytes);
};

}
