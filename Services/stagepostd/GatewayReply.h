#pragma once

#include <LibBase/RefusalReason.h>
#include <LibProxy/HttpMessage.h>

namespace Stagepost {

// The status with which a gateway refuses: 503 where the request has not run,
// whatever went wrong, and never 503 where it may have.
unsigned gatewayStatusOf(Refusal const&);

// A refusal with its reason and verdict, and with the time to come back in
// seconds and fractions of a second.
HttpReply gatewayReply(Refusal const&);

}
