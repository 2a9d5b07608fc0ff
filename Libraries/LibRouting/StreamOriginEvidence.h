#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <optional>
#include <string_view>

namespace Stagepost {

// Where a record of a stream's version is from, for logs.
struct StreamOriginEvidence {
    enum class Place {
        // This daemon's own table, in which the record was put here or sent by the daemon.
        Table,
        // What was kept beyond the lives of all daemons.
        Store,
        // The daemon's answer to a question of this one.
        Answer,
    };

    Place place { Place::Table };
    VMId daemon;
    // The time since the record came to this daemon. None if only the answering daemon knows it.
    std::optional<Microseconds> age;
};

// Two records of one stream that name different versions.
struct StreamOriginContradiction {
    StreamId stream;
    VersionId known;
    StreamOriginEvidence knownFrom;
    VersionId contradicting;
    StreamOriginEvidence contradictingFrom;
};

// The name in logs.
constexpr std::string_view nameOf(StreamOriginEvidence::Place place)
{
    switch (place) {
    case StreamOriginEvidence::Place::Table:
        return "own-table";
    case StreamOriginEvidence::Place::Store:
        return "store";
    case StreamOriginEvidence::Place::Answer:
        return "answer";
    }
    return "unknown";
}

}
