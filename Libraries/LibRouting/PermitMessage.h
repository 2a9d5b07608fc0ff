#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Result.h>
#include <LibRouting/ColdBound.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Stagepost {

// Asks an upstream's owner whether one more request may be sent there.
struct LedgerAsk {
    // The asker's own number of the ask.
    uint64_t number { 0 };
    UpstreamId upstream;
    // What the asker has in flight there without it.
    uint64_t ownInFlight { 0 };
    // It may be sent if the upstream holds fewer than these.
    uint64_t limit { 0 };
    // The asker knows that the upstream is cold; the owner may not know yet. Daemons of
    // earlier versions do not understand such an ask, and it is as if they were gone.
    std::optional<ColdNotice> cold {};
    // The context that goes there, where the request has one. Daemons of earlier versions do not
    // understand such an ask either.
    std::optional<uint64_t> context {};
};

struct LedgerAnswer {
    uint64_t number { 0 };
    bool isGranted { false };
    // What the upstream holds without it.
    uint64_t count { 0 };
    // The upstream is cold and gets nothing further by now. Daemons of earlier versions do
    // not understand such an answer, and go on as if none had come.
    bool isExhausted { false };
    // The upstream has not had the context, as far as its owner knows.
    bool isNewThere { false };
};

// What the sender has in flight at an upstream of the receiver's.
struct LedgerReport {
    UpstreamId upstream;
    uint64_t ownInFlight { 0 };
};

using LedgerMessage = std::variant<LedgerAsk, LedgerAnswer, LedgerReport>;

std::string encodeLedgerMessage(LedgerMessage const&);
// Error: Malformed.
Result<LedgerMessage> decodeLedgerMessage(std::string_view bytes);

}
