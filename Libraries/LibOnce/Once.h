#pragma once

// The public header of LibOnce: calls that may not be repeated run at most once,
// by tickets that one daemon hands out and remembers, or by keys of the callers'
// own that are claimed on the platform's log. Nothing in it does I/O itself.

#include <LibOnce/AppendRateLimiter.h>
#include <LibOnce/ClaimGate.h>
#include <LibOnce/ClaimRecord.h>
#include <LibOnce/ClaimTable.h>
#include <LibOnce/OnceKey.h>
#include <LibOnce/RecordedAnswer.h>
#include <LibOnce/TicketBook.h>
