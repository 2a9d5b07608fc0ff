#pragma once

// The public header of LibOnce, which executes non-idempotent calls at most once: by
// tickets that a single daemon issues and tracks, or by the callers' idempotency keys,
// which are claimed on the platform's log. The library does no I/O itself.

#include <LibOnce/AppendRateLimiter.h>
#include <LibOnce/ClaimGate.h>
#include <LibOnce/ClaimRecord.h>
#include <LibOnce/ClaimTable.h>
#include <LibOnce/IdempotencyKey.h>
#include <LibOnce/RecordedResponse.h>
#include <LibOnce/TicketRegistry.h>
