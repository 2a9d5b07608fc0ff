#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Result.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Stagepost {

// What a daemon tells the one that it passes a caller's request on to, so that both together keep
// the limits of a single daemon.
struct DetourTerms {
    // The daemon that received the request. Known from the signature, so it is not encoded.
    VMId from;
    // The configuration by which the request was accepted. An older one must not be applied to it.
    uint64_t settingsVersion { 0 };
    // How many more upstreams the request may be sent to.
    size_t sendsLeft { 1 };
    // Whether the request already counts for the retry budget of the daemon that received it.
    bool isCounted { false };
    std::string service;
    // The caller's id of the request.
    std::string id;
    // The version at which the stream has begun that the request continues, if that is known.
    std::optional<VersionId> streamVersion {};

    std::string encode() const;
    // Error: Malformed.
    static Result<DetourTerms> decode(VMId from, std::string_view);
};

}
