#pragma once

// Includes all of LibBase: ids, time units, results, verdicts, metrics, logging, message
// encoding and authentication, and the hooks that inject the clock and random numbers.

#include <LibBase/Authenticator.h>
#include <LibBase/Error.h>
#include <LibBase/FingerprintKey.h>
#include <LibBase/FleetPeer.h>
#include <LibBase/Hash.h>
#include <LibBase/Hex.h>
#include <LibBase/Hooks.h>
#include <LibBase/Ids.h>
#include <LibBase/Log.h>
#include <LibBase/LogRateLimiter.h>
#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>
#include <LibBase/Metrics.h>
#include <LibBase/PendingProofs.h>
#include <LibBase/QuestionNumbers.h>
#include <LibBase/RefusalReason.h>
#include <LibBase/Result.h>
#include <LibBase/StalenessBound.h>
#include <LibBase/TextDelta.h>
#include <LibBase/Time.h>
#include <LibBase/TokenBucket.h>
#include <LibBase/Utf8.h>
#include <LibBase/Verdict.h>
