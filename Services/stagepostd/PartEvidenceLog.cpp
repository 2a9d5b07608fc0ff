#include <stagepostd/PartEvidenceLog.h>

#include <LibBase/Hex.h>
#include <LibBase/Log.h>

namespace Stagepost {

void logPartEvidence(PromptPartSuspects const& suspects, Fingerprint part, std::string_view source, std::string_view from, Instant now)
{
    auto const* suspect = suspects.evidence().find(part);
    auto const answeredAge = suspect && suspect->clearedAt ? (now - *suspect->clearedAt).count() / 1000 : -1;
    logEvent(LogLevel::Info, "prompt-part-evidence",
        { { "part", toHex(part.value()) }, { "source", source }, { "from", from }, { "ends", suspects.evidence().crashCount(part) }, { "answered_age_ms", answeredAge }, { "guilty", suspects.isPoison(part, now) ? 1 : 0 } });
}

}
