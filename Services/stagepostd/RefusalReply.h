#pragma once

#include <LibBase/RefusalReason.h>
#include <LibProxy/HttpMessage.h>

namespace Stagepost {

// The header fields of such a response.
namespace RefusalFields {
    constexpr std::string_view reason = "Stagepost-Reason";
    constexpr std::string_view verdict = "Stagepost-Verdict";
}

// Makes the response for a refused request. It gives the reason, whether the request may have run,
// and when to retry:
//   {"error":{"reason":"queue-full","verdict":"not-run","message":"...","retry_after_ms":250}}
HttpResponse refusalReply(Refusal const&);

}
