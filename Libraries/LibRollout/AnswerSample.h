#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Stagepost {

// Identifies a route by the hash of its name.
using RouteId = Id<struct RouteTag>;

// The result of a request that was sent to an upstream, as far as it shows how well the upstream's version works.
enum class AnswerOutcome : uint8_t {
    Answered,
    // The upstream answered with a status of 500 or above.
    Failed,
    // The answer broke off or was unusable.
    Broken,
    // There was no answer by the deadline.
    TimedOut,
    // Says nothing about the version: the request did not run, the caller left, no connection was
    // established, or the request is suspected of crashing upstreams.
    Irrelevant,
};

// An answer of an upstream, or the lack of one.
struct AnswerSample {
    RouteId route;
    UpstreamId upstream;
    AnswerOutcome outcome { AnswerOutcome::Irrelevant };
    bool isStream { false };
    // Whether the upstream had to read the request's context, which makes the first event late.
    bool isContextNew { false };
    // Whether the upstream has just started and is expected to be slow. Its times are not judged.
    bool isUpstreamCold { false };
    // Whether the upstream had about the load of the old version's upstreams when the request was sent.
    bool isUnderLoad { false };
    // The time until the response header, or for streams until the first event.
    Microseconds firstByteTime { 0 };
    // The time from sending the request until its answer ended.
    Microseconds totalTime { 0 };
    // The number of events of a stream.
    size_t events { 0 };
};

}
