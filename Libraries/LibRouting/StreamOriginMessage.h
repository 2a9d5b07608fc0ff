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
    // A bound on what a damaged message may ask for. No known route allows for more time.
    static constexpr Microseconds maxLifetime { 3600000000 };

    StreamId stream;
    VersionId version;
    // How long its caller may still take it up.
    Microseconds lifetime { 0 };
};

struct StreamOriginQuery {
    // Assigned by the sender, and returned in the reply. It names the stream as well, see QuestionNumbers: daemons of
    // earlier versions reject a reply with a further field.
    uint64_t queryId { 0 };
    StreamId stream;
    std::string service;
};

// What a daemon knows of a stream that another one is asked to continue.
struct StreamOriginReply {
    // Longer times are not told apart. More than the time for which streams can be taken up.
    static constexpr Microseconds maxKeptFor { StreamOriginRecord::maxLifetime + Seconds(60) };

    uint64_t queryId { 0 };
    std::optional<VersionId> recorded;
    // For how long it has kept all records that it got.
    Microseconds keptFor { 0 };
    // The service's only version for as long as streams can be taken up, by a list of upstreams of this age.
    std::optional<VersionId> uniform;
    Microseconds listAge { 0 };
    // See VersionHistory.
    std::optional<VersionId> withoutRecords;
    // Whether it knows of several versions for this time.
    bool hasSeveral { false };
    // It has records of several versions of the stream. Daemons of earlier versions take that for no record.
    bool isContradictory { false };
};

using StreamOriginMessage = std::variant<StreamOriginRecord, StreamOriginQuery, StreamOriginReply>;

std::string encodeStreamOriginMessage(StreamOriginMessage const&);
// Error: Malformed.
Result<StreamOriginMessage> decodeStreamOriginMessage(std::string_view bytes);

}
