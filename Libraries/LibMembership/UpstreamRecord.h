#pragma once

#include <LibBase/Ids.h>
#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>
#include <LibBase/Time.h>
#include <optional>
#include <string>
#include <vector>

namespace Stagepost {

// An upstream's own record in the platform's store.
struct UpstreamRecord {
    // The upstream's name. A restarted process may keep it.
    std::string instance;
    std::string service;
    // IP:PORT.
    std::string address;
    std::string hall;
    // The number of requests that it processes concurrently.
    size_t slots { 1 };
    bool isLeaving { false };
    // How much longer it runs slowly after a cold start.
    Milliseconds coldLeft { 0 };
    // The start time of its process, in milliseconds since 1970 by its own clock. Null if
    // the record doesn't contain it.
    Incarnation incarnation {};
    // The version of the software that it runs. Empty if the record doesn't contain it, or if it was
    // passed on by a daemon that doesn't know of versions.
    std::string version {};

    // Differs for each start of the process. A restarted process has no cached contexts and
    // no requests in flight, so it counts as another upstream and inherits no state.
    UpstreamId id() const;
    bool operator==(UpstreamRecord const&) const = default;

    // Covers every field that matters to other daemons. Of coldLeft, which decreases by
    // itself, it covers only whether it is zero.
    uint64_t hash() const;
};

// An upstream that was added, changed or removed.
struct UpstreamChange {
    std::string instance;
    // None if the upstream was removed.
    std::optional<UpstreamRecord> record;
};

// The records of the changes that have one.
std::vector<UpstreamRecord> recordsOf(std::vector<UpstreamChange> const&);

// Without an incarnation, the encoding is that of daemons that don't support incarnations. Daemons
// that don't support versions can read records whose version has up to seven characters, and ignore it.
void write(MessageWriter&, UpstreamRecord const&);
UpstreamRecord readUpstreamRecord(MessageReader&);

}
