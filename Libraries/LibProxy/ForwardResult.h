#pragma once

#include <LibBase/RefusalReason.h>
#include <LibProxy/HttpMessage.h>
#include <cstdint>
#include <optional>

namespace Stagepost {

// What became of one forward.
struct ForwardResult {
    // NotRun only where not one byte of the request was sent.
    Verdict verdict { Verdict::NotRun };
    // Why it failed; none when the whole answer reached the caller.
    std::optional<RefusalReason> failure;
    std::string detail;
    // Whether the caller has seen any of the answer, after which nothing else can be sent.
    bool answerStarted { false };
    unsigned status { 0 };
    uint64_t answerBytes { 0 };
    uint64_t answerParts { 0 };
    Microseconds firstByteAfter { 0 };
    // The answer as the upstream gave it, where the plan asked to keep it.
    HttpReply kept;
    bool keptWhole { false };
    bool reusedConnection { false };
    // The forward was given up at its plan's limit.
    bool reachedLimit { false };
};

}
