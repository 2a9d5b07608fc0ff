#pragma once

#include <LibBase/Ids.h>
#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>
#include <LibBase/Time.h>
#include <optional>
#include <string>

namespace Stagepost {

// What an upstream has recorded of itself in the platform's store.
struct UpstreamRecord {
    // The upstream's name, which a process that starts again may keep.
    std::string instance;
    std::string service;
    // IP:PORT.
    std::string address;
    std::string hall;
    // Requests that it works on at once.
    size_t slots { 1 };
    bool isLeaving { false };
    // How much longer it stays slow after its start.
    Milliseconds coldLeft { 0 };
    // When its process started, in milliseconds since 1970 by its own clock; null where
    // it does not say.
    Incarnation incarnation {};

    // Of this start. A process that starts again holds nothing and has nothing in flight,
    // so all that is known of the one before must not pass to it: it is another upstream.
    UpstreamId id() const;
    bool operator==(UpstreamRecord const&) const = default;

    // Differs wherever what matters to other daemons does: of the time that a cold upstream
    // still takes, which changes by itself, only whether there is any.
    uint64_t hash() const;
};

// An upstream that is there now, or is not any more.
struct UpstreamChange {
    std::string instance;
    // None where the upstream is gone.
    std::optional<UpstreamRecord> record;
};

// A record without an incarnation is written as by versions that do not know of any.
void write(MessageWriter&, UpstreamRecord const&);
UpstreamRecord readUpstreamRecord(MessageReader&);

}
