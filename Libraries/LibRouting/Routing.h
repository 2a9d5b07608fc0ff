#pragma once

// The public header of LibRouting, which decides on placement, admission, refusals and
// retries. The library opens no sockets, reads no clock and starts no threads. Callers pass
// in messages and the current time.

#include <LibRouting/AcceptedShare.h>
#include <LibRouting/AdmissionCap.h>
#include <LibRouting/AdmissionController.h>
#include <LibRouting/AdmissionGate.h>
#include <LibRouting/BoundedMap.h>
#include <LibRouting/BrittleLimit.h>
#include <LibRouting/CircuitBreaker.h>
#include <LibRouting/ColdStartLimit.h>
#include <LibRouting/ContextHolders.h>
#include <LibRouting/ContextTable.h>
#include <LibRouting/CrashExchange.h>
#include <LibRouting/CrashSuspects.h>
#include <LibRouting/DetourExchange.h>
#include <LibRouting/DetourMessage.h>
#include <LibRouting/FairQueue.h>
#include <LibRouting/HolderExchange.h>
#include <LibRouting/HolderMessage.h>
#include <LibRouting/InFlightCounter.h>
#include <LibRouting/LeaseClient.h>
#include <LibRouting/LeaseServer.h>
#include <LibRouting/LinkFailureDetector.h>
#include <LibRouting/LoadEstimate.h>
#include <LibRouting/LoadExchange.h>
#include <LibRouting/OrganisationLimiter.h>
#include <LibRouting/PermitExchange.h>
#include <LibRouting/PermitMessage.h>
#include <LibRouting/PlacementRequest.h>
#include <LibRouting/PlacementRule.h>
#include <LibRouting/PoolPolicy.h>
#include <LibRouting/PromptChain.h>
#include <LibRouting/PromptPartSuspects.h>
#include <LibRouting/Rendezvous.h>
#include <LibRouting/RequestAttempts.h>
#include <LibRouting/RetryBudget.h>
#include <LibRouting/RetryPolicy.h>
#include <LibRouting/RoutingMessage.h>
#include <LibRouting/RoutingView.h>
#include <LibRouting/ServiceLoad.h>
#include <LibRouting/ServicePlacement.h>
#include <LibRouting/ShareExchange.h>
#include <LibRouting/SilenceDetector.h>
#include <LibRouting/StreamOriginEvidence.h>
#include <LibRouting/StreamOriginExchange.h>
#include <LibRouting/StreamOriginLogRelay.h>
#include <LibRouting/TrialExchange.h>
#include <LibRouting/UpstreamBackoff.h>
#include <LibRouting/UpstreamHealth.h>
#include <LibRouting/UpstreamOwner.h>
#include <LibRouting/UpstreamRole.h>
