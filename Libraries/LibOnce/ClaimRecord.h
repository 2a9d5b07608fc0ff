#pragma once

#include <LibBase/Result.h>
#include <LibOnce/IdempotencyKey.h>
#include <LibOnce/RecordedResponse.h>
#include <string>
#include <string_view>
#include <vector>

namespace Stagepost {

// One step of one key, as it stands in the log. The nonce tells one attempt from
// every other, also from those of other daemons and of earlier starts.
struct ClaimRecord {
    enum class Step : uint8_t {
        // The attempt wants to run the call.
        Claim,
        // The attempt has run it.
        Done,
        // The attempt has not run it and never will.
        Abandon,
        // The log has come back from a copy; in a record of its own, which daemons that do not
        // know this step pass over.
        Return,
    };

    Step step { Step::Claim };
    IdempotencyKey key;
    uint64_t nonce { 0 };
    // For Return, the key's time is the second up to which claims may have been lost, and the
    // nonce says which return it was.
    // For Claim: the hash of the request, so that a key is not used for two.
    uint64_t fingerprint { 0 };
    // For Done.
    RecordedResponse response;

    // Many steps share one record of the log, whose appends are limited.
    static std::string encode(std::vector<ClaimRecord> const&);
    // Error: Malformed; the whole record is then passed over by every reader.
    static Result<std::vector<ClaimRecord>> decode(std::string_view);
};

}
