#pragma once

#include <LibBase/Result.h>
#include <LibOnce/IdempotencyKey.h>
#include <LibOnce/RecordedResponse.h>
#include <string>
#include <string_view>
#include <vector>

namespace Stagepost {

// A state transition of an idempotency key, as recorded in the log. The nonce identifies
// the attempt uniquely, across daemons and across restarts.
struct ClaimRecord {
    enum class Step : uint8_t {
        // The attempt asks to run the call.
        Claim,
        // The attempt has run the call.
        Done,
        // The attempt has not run the call and never will.
        Abandon,
        // The log was restored from a backup. This step is always encoded alone, because a
        // daemon that doesn't know it skips the whole log record.
        LogRestored,
    };

    Step step { Step::Claim };
    // For LogRestored, only createdAt is set: claims of keys created up to then may be lost.
    IdempotencyKey key;
    // For LogRestored, the number of restores so far.
    uint64_t nonce { 0 };
    // For Claim: the hash of the request, to detect that a key is reused for another one.
    uint64_t fingerprint { 0 };
    // For Done.
    RecordedResponse response;

    // Batches several steps into one log record, because the rate of appends is limited.
    static std::string encode(std::vector<ClaimRecord> const&);
    // Error: Malformed. Every reader then skips the whole log record.
    static Result<std::vector<ClaimRecord>> decode(std::string_view);
};

}
