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
    // The name of this start of the upstream's process.
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

    UpstreamId id() const { return UpstreamId::fromName(instance); }
    bool operator==(UpstreamRecord const&) const = default;

    // Differs wherever what matters to other daemons does; the time that a cold
    // upstream still takes changes by itself and is left out.
    uint64_t hash() const;
};

// An upstream that is there now, or is not any more.
struct UpstreamChange {
    std::string instance;
    // None where the upstream is gone.
    std::optional<UpstreamRecord> record;
};

void write(MessageWriter&, UpstreamRecord const&);
UpstreamRecord readUpstreamRecord(MessageReader&);

}
