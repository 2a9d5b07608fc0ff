#pragma once

#include <LibBase/RefusalReason.h>
#include <LibProxy/HttpMessage.h>

namespace Stagepost {

// The answer that tells a caller why its request was refused, whether it may
// have run, and when asking again makes sense:
//   {"error":{"reason":"queue-full","verdict":"not-run","message":"...","retry_after_ms":250}}
HttpResponse refusalReply(Refusal const&);

}
