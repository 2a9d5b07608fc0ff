#pragma once

#include <LibBase/Time.h>
#include <LibBase/Verdict.h>
#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace Stagepost {

// Why a request was not answered by an upstream. Each reason has a counter in the metrics.
enum class RefusalReason {
    BadJson,
    BadRequest,
    BodyTooLarge,
    CallerGone,
    CircuitOpen,
    ClaimUnsettled,
    ClientMemoryFull,
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

// Returns the name that callers, metrics and logs see, for example "queue-full".
std::string_view nameOf(RefusalReason);

// Returns the HTTP status of a response with this reason.
unsigned httpStatusOf(RefusalReason);

// Returns what a caller or operator can do about the reason, in one or two sentences.
std::string_view adviceFor(RefusalReason);

// What a caller is told about a request that no upstream answered.
struct Refusal {
    RefusalReason reason { RefusalReason::BadRequest };
    Verdict verdict;
    std::string detail;
    // How long to wait before a retry; empty if waiting does not help.
    std::optional<Milliseconds> retryAfter;
};

}
