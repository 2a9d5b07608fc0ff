#pragma once

#include <LibBase/Time.h>
#include <LibBase/Verdict.h>
#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace Stagepost {

// Why a request got no answer from an upstream. Each has a counter.
enum class RefusalReason {
    BadJson,
    BadRequest,
    BodyTooLarge,
    CallerGone,
    CircuitOpen,
    ClaimUnsettled,
    DeadlinePassed,
    DeadlineTooNear,
    Draining,
    EndsUpstreams,
    HeadersTooLarge,
    KeyInProgress,
    KeyOutOfWindow,
    KeyReused,
    LogDown,
    MissingToken,
    NoSettings,
    NoSuchModel,
    NoSuchPath,
    NoSuchRoute,
    NoSuchService,
    NoUpstream,
    OnceMemoryFull,
    OrganisationInFlight,
    OrganisationRate,
    OverCapacity,
    QueueFull,
    RetryBudget,
    SettingsTooOld,
    SlowCaller,
    TicketInvalid,
    TicketHolderGone,
    UnknownKey,
    UpstreamBroken,
    UpstreamMixedAnswer,
    UpstreamRefused,
    UpstreamSlow,
    WrongToken,
    Count,
};

// The reason as callers, counters and logs see it, for example "queue-full".
std::string_view nameOf(RefusalReason);

// The HTTP status that goes with a reason.
unsigned httpStatusOf(RefusalReason);

// What whoever meets the reason can do about it, in a sentence or two.
std::string_view adviceFor(RefusalReason);

// All that a caller is told of a request that was not answered.
struct Refusal {
    RefusalReason reason { RefusalReason::BadRequest };
    Verdict verdict { Verdict::NotRun };
    std::string detail;
    // When asking again makes sense; none where waiting does not help.
    std::optional<Milliseconds> retryAfter;
};

}
