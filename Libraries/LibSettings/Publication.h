#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Result.h>
#include <string>

namespace Stagepost {

// The log stream to which settings are published.
inline constexpr char const* settingsStream = "settings";

// One record of the settings stream: a change by an operator, or a snapshot that repeats the
// accepted settings before the log's retention removes them.
struct Publication {
    enum class Kind {
        Change,
        Snapshot,
    };

    Kind kind { Kind::Change };
    // For a change, the revision that it is based on. For a snapshot, the one that it repeats.
    Revision revision;
    // For a snapshot: it covers all records before this offset.
    Offset upTo;
    // Lets a publisher tell its own record from another's with the same content.
    std::string nonce;
    std::string author;
    std::string toml;

    std::string toRecord() const;
    // Error: Malformed.
    static Result<Publication> fromRecord(std::string_view record);
};

}
