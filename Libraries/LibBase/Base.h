#pragma once

// The public header of LibBase: ids, units, results, verdicts, counters and the
// hooks through which everything else gets the time and its random numbers.

#include <LibBase/Authenticator.h>
#include <LibBase/Error.h>
#include <LibBase/FingerprintKey.h>
#include <LibBase/FleetPeer.h>
#include <LibBase/Hash.h>
#include <LibBase/Hex.h>
#include <LibBase/Hooks.h>
#include <LibBase/Ids.h>
#include <LibBase/Log.h>
#include <LibBase/LogBudget.h>
#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>
#include <LibBase/Metrics.h>
#include <LibBase/ProvenAge.h>
#include <LibBase/RefusalReason.h>
#include <LibBase/Result.h>
#include <LibBase/TextDelta.h>
#include <LibBase/Time.h>
#include <LibBase/TokenBucket.h>
#include <LibBase/Verdict.h>
