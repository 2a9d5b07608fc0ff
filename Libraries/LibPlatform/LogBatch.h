#pragma once

#include <LibBase/Ids.h>
#include <string>
#include <vector>

namespace Stagepost {

struct LogRecord {
    Offset offset;
    std::string body;
};

// What one read of a stream gave.
struct LogBatch {
    // The oldest offset that the log still keeps.
    Offset first;
    // The offset that the next record will get.
    Offset next;
    std::vector<LogRecord> records;
    // How often the log has come back from a copy that lacks its last records; their offsets
    // are given out again. 0 where the log does not say.
    uint64_t returns { 0 };
};

}
