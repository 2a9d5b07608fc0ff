#pragma once

#include <LibBase/RefusalReason.h>
#include <LibProxy/HttpMessage.h>

namespace Stagepost {

// The HTTP status of a refusal. For a request that has not run, every server error becomes 503. A
// request that may have run gets no status that promises that it has not.
unsigned gatewayStatusOf(Refusal const&);

// Whether the status tells the caller that its request has not run.
bool promisesNotRun(unsigned status);

// The answer for a refusal, with its reason and verdict. For a request that has not run, Retry-After
// is given in seconds with three decimals.
HttpResponse gatewayReply(Refusal const&);

}
