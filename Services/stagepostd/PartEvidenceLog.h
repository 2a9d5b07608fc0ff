#pragma once

#include <LibRouting/PromptPartSuspects.h>
#include <string_view>

namespace Stagepost {

// Logs what is known of a part of prompts. The source is "seen", "told" or "answered"; from names the
// upstream or the daemon that the news came from.
void logPartEvidence(PromptPartSuspects const&, Fingerprint part, std::string_view source, std::string_view from, Instant now);

}
