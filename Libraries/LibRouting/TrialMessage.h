#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Result.h>
#include <LibRouting/TrialLeases.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Stagepost {

// Asks for the trial of a subject, or renews its lease.
struct TrialQuery {
    // Assigned by the sender for one trial, and returned in the response.
    uint64_t trial { 0 };
    Fingerprint subject;
};

struct TrialResponse {
    uint64_t trial { 0 };
    bool isGranted { false };
};

// The trial is over, or is not needed.
struct TrialEnd {
    uint64_t trial { 0 };
    Fingerprint subject;
    TrialOutcome outcome { TrialOutcome::NotSent };
};

using TrialMessage = std::variant<TrialQuery, TrialResponse, TrialEnd>;

std::string encodeTrialMessage(TrialMessage const&);
// Error: Malformed.
Result<TrialMessage> decodeTrialMessage(std::string_view bytes);

}
