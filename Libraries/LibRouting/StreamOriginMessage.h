#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Result.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Stagepost {

// Tells a keeper at which version a stream has begun.
struct StreamOriginRecord {
    StreamId stream;
    VersionId version;
    // How long its caller may still take it up.
    Microseconds lifetime { 0 };
};

struct StreamOriginQuery {
    // Assigned by the sender, and returned in the reply.
    uint64_t queryId { 0 };
    StreamId stream;
    std::string service;
};

// What a daemon knows of a stream that another one is asked to continue.
struct StreamOriginReply {
    uint64_t queryId { 0 };
    std::optional<VersionId> recorded;
    // Whether it has kept all records that it got for as long as streams can be taken up.
    bool isComplete { false };
    // The service's only version for as long as streams can be taken up, by a list of upstreams that is proven.
    std::optional<VersionId> uniform;
    // See VersionHistory.
    std::optional<VersionId> withoutRecords;
};

using StreamOriginMessage = std::variant<StreamOriginRecord, StreamOriginQuery, StreamOriginReply>;

std::string encodeStreamOriginMessage(StreamOriginMessage const&);
// Error: Malformed.
Result<StreamOriginMessage> decodeStreamOriginMessage(std::string_view bytes);

}
