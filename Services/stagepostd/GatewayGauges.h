#pragma once

#include <LibBase/Metrics.h>
#include <LibRouting/PromptPartSuspects.h>
#include <stagepostd/ServiceTable.h>

namespace Stagepost {

void setServiceGauges(ServiceTable const&, Instant now, Metrics&);
// How many requests, and parts of prompts, are known under which upstreams have crashed.
void setCrashGauges(CrashSuspects const&, PromptPartSuspects const&, Instant now, Metrics&);

}
