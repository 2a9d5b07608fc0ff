#include <LibBase/RefusalReason.h>

namespace Stagepost {

namespace {

    struct ReasonRow {
        RefusalReason reason;
        std::string_view name;
        unsigned status;
        std::string_view advice;
    };

    constexpr std::array reasonRows {
        ReasonRow { RefusalReason::BadJson, "bad-json", 400, "Mend the body: a JSON object with a text 'model' and a list 'messages'." },
        ReasonRow { RefusalReason::BadRequest, "bad-request", 400, "Mend the request as the message says." },
        ReasonRow { RefusalReason::BodyTooLarge, "body-too-large", 413, "Send less, or raise --largest-body on every daemon." },
        ReasonRow { RefusalReason::CallerGone, "caller-gone", 499, "Nothing: the caller left. Many of them point at callers' time-outs that are too short." },
        ReasonRow { RefusalReason::CircuitOpen, "circuit-open", 503, "Look at the upstream, which failed several times in a row; it is tried again by itself." },
        ReasonRow { RefusalReason::ClaimUnsettled, "claim-unsettled", 503, "Send again with the same key; look at the log if it stays." },
        ReasonRow { RefusalReason::ClientMemoryFull, "client-memory-full", 503, "Come back after Retry-After. If ordinary callers get it, look for clients that send large bodies or leave requests unfinished, or raise --client-memory-mb." },
        ReasonRow { RefusalReason::DeadlinePassed, "deadline-passed", 504, "Give more time, or add upstreams if it is frequent." },
        ReasonRow { RefusalReason::DeadlineTooNear, "deadline-too-near", 503, "Come back after Retry-After, or give more time; add upstreams if it is frequent." },
        ReasonRow { RefusalReason::Draining, "draining", 503, "Nothing: the balancer sends elsewhere. With 502, the daemon ended before the answer; give the stop more time if it is frequent." },
        ReasonRow { RefusalReason::EndsUpstreams, "ends-upstreams", 502, "Look at the upstreams, which end when they run this request or any with a part of its prompt; mend them or have its sender change it. A request is tried 30 s and five minutes after the last end, within seconds if its upstreams have ended together, and let through again after ten minutes; one with such a part is tried every five minutes." },
        ReasonRow { RefusalReason::HeadersTooLarge, "headers-too-large", 431, "Send less, or raise --largest-headers on every daemon." },
        ReasonRow { RefusalReason::KeyInProgress, "key-in-progress", 409, "Look at the verdict: the call is running, has run, or nobody can say. Never send it under another key." },
        ReasonRow { RefusalReason::KeyOutOfWindow, "key-out-of-window", 409, "Make a new key; check first whether the old call took effect." },
        ReasonRow { RefusalReason::KeyReused, "key-reused", 422, "Make a new key for each request." },
        ReasonRow { RefusalReason::LogDown, "log-down", 503, "Use a ticket, or come back when the log is up." },
        ReasonRow { RefusalReason::MissingToken, "missing-token", 401, "Send the organisation's bearer token." },
        ReasonRow { RefusalReason::NoSettings, "no-settings", 503, "Publish a tree, or let this daemon reach the log or a peer." },
        ReasonRow { RefusalReason::NoSuchModel, "no-such-model", 404, "Ask for a model that a pool of the tree serves." },
        ReasonRow { RefusalReason::NoSuchPath, "no-such-path", 404, "Use /v1/chat/completions, /v1/tickets or /services/NAME/..." },
        ReasonRow { RefusalReason::NoSuchRoute, "no-such-route", 404, "Ask for a host and path that a route of the configuration serves." },
        ReasonRow { RefusalReason::NoSuchService, "no-such-service", 404, "Use a service of the tree." },
        ReasonRow { RefusalReason::NoUpstream, "no-upstream", 503, "Check the list of VMs: no live upstream of this pool could be asked." },
        ReasonRow { RefusalReason::OnceMemoryFull, "once-memory-full", 503, "Raise once_memory_bytes or shorten claim_window_s." },
        ReasonRow { RefusalReason::OrganisationInFlight, "organisation-in-flight", 429, "The organisation has its limit in flight; raise in_flight if that is too little." },
        ReasonRow { RefusalReason::OrganisationRate, "organisation-rate", 429, "Come back after Retry-After; raise requests_per_second if that is too little." },
        ReasonRow { RefusalReason::OverCapacity, "over-capacity", 503, "Add upstreams." },
        ReasonRow { RefusalReason::QueueFull, "queue-full", 503, "Come back after Retry-After; add upstreams or raise queue_length if it is frequent." },
        ReasonRow { RefusalReason::RetryBudget, "retry-budget", 503, "Look at the pool: so many requests fail that retries are held back." },
        ReasonRow { RefusalReason::SettingsTooOld, "settings-too-old", 503, "Let this daemon reach the store: it cannot tell whether a key is still good. The balancer sends elsewhere meanwhile." },
        ReasonRow { RefusalReason::SlowCaller, "slow-caller", 408, "Look at the caller's network: it did not send or take data in time." },
        ReasonRow { RefusalReason::TicketInvalid, "ticket-invalid", 422, "Take a ticket from this fleet with the same organisation's token." },
        ReasonRow { RefusalReason::TicketHolderGone, "ticket-holder-gone", 409, "Check whether the call took effect, then take a new ticket." },
        ReasonRow { RefusalReason::UnknownKey, "unknown-key", 401, "Send a key that the configuration gives to an organisation." },
        ReasonRow { RefusalReason::UpstreamBroken, "upstream-broken", 502, "Look at the upstream: it closed the connection without a whole answer." },
        ReasonRow { RefusalReason::UpstreamMixedAnswer, "upstream-mixed-answer", 502, "Look at the upstream: it answered another request than it was sent, or sent bytes that belong to no answer." },
        ReasonRow { RefusalReason::UpstreamRefused, "upstream-refused", 502, "Look at the upstream: it takes no connections." },
        ReasonRow { RefusalReason::UpstreamSlow, "upstream-slow", 504, "Look at the upstream, or raise answer_timeout_ms or idle_timeout_ms." },
        ReasonRow { RefusalReason::WrongToken, "wrong-token", 403, "Use a token whose hash stands in the tree." },
    };
    static_assert(reasonRows.size() == static_cast<size_t>(RefusalReason::Count));

    constexpr bool rowsAreInOrder()
    {
        for (size_t index = 0; index < reasonRows.size(); ++index) {
            if (reasonRows[index].reason != static_cast<RefusalReason>(index))
                return false;
        }
        return true;
    }
    static_assert(rowsAreInOrder());

}

std::string_view nameOf(RefusalReason reason)
{
    return reasonRows.at(static_cast<size_t>(reason)).name;
}

unsigned httpStatusOf(RefusalReason reason)
{
    return reasonRows.at(static_cast<size_t>(reason)).status;
}

std::string_view adviceFor(RefusalReason reason)
{
    return reasonRows.at(static_cast<size_t>(reason)).advice;
}

}
