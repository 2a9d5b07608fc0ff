#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Result.h>
#include <LibRollout/RolloutEvidence.h>
#include <LibRollout/RolloutState.h>
#include <string>
#include <string_view>
#include <variant>

namespace Stagepost {

// A daemon's counts for an order, sent to its hall's judge.
struct EvidenceReport {
    RolloutId order;
    // A random number of the sender's process: counts of an earlier process are not continued.
    uint64_t process { 0 };
    // By the sender's clock, in microseconds. The reply repeats it.
    uint64_t sentAt { 0 };
    RolloutPhase phase { RolloutPhase::Trial };
    // Whether the sender sends to the new version only, and nothing of its requests runs at the old one.
    bool hasMoved { false };
    // Whether the judge should reply. A sender that is being answered asks in every second report,
    // since replies to all of them would be most of a judge's traffic.
    bool needsReply { true };
    RolloutEvidence evidence;
};

// A judge's reply, which renews the sender's permission to use the old version.
struct EvidenceReply {
    RolloutId order;
    // The report's time, or 0 if the judge announces a new phase without having been asked.
    uint64_t sentAt { 0 };
    RolloutPhase phase { RolloutPhase::Trial };
    // Whether the judge's own permission is valid. Otherwise the reply renews nothing.
    bool renewsLease { false };
};

// The totals of a judge's hall, sent to the judges of the other halls.
struct HallReport {
    RolloutId order;
    uint64_t process { 0 };
    uint64_t sentAt { 0 };
    // The latest sentAt that the sender got from the receiver, which renews the receiver's own lease.
    // It is 0 if the sender does not hear most of its hall, or knows a later phase than the receiver.
    uint64_t echoOf { 0 };
    HallId hall;
    RolloutPhase phase { RolloutPhase::Trial };
    // Daemons of the hall that may still send to the old version.
    size_t daemonsNotMoved { 0 };
    // Whether so many daemons of the hall have reported to the sender in phase Moved that no other
    // judge of the hall can hear most of them in an earlier phase.
    bool blocksOthers { false };
    RolloutEvidence evidence;
};

using RolloutMessage = std::variant<EvidenceReport, EvidenceReply, HallReport>;

std::string encodeRolloutMessage(RolloutMessage const&);
// Error: Malformed.
Result<RolloutMessage> decodeRolloutMessage(std::string_view bytes);

}
