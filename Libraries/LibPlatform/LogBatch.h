#pragma once

#include <LibBase/Ids.h>
#include <string>
#include <vector>

namespace Stagepost {

struct LogRecord {
    Offset offset;
    std::string body;
};

// The result of one read of a stream.
struct LogBatch {
    // The oldest offset that the log still keeps.
    Offset first;
    // The offset that the next appended record will get.
    Offset next;
    std::vector<LogRecord> records;
    // How often the log was restored from a copy that lacks its most recent records. The
    // offsets of the lost records are assigned again. 0 if the log does not report it.
    uint64_t restoreCount { 0 };
};

}
