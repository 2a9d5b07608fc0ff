#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <map>

namespace Stagepost {

// Moving mean and deviation of waiting times.
class WaitEstimate {
public:
    void add(Microseconds wait);
    // A wait that a healthy peer hardly ever exceeds; zero before the first wait.
    Microseconds bound() const;

private:
    double m_mean { 0 };
    double m_deviation { 0 };
    bool m_isKnown { false };
};

// Whether the upstreams of a hall can be reached, as far as their answers show.
enum class Reach : uint8_t {
    Reachable,
    // The hall is silent, but a trial is due. A request is sent only on a new connection,
    // which proves that the upstream is reachable.
    TrialDue,
    // The hall is silent: requests are sent elsewhere.
    Silent,
};

// Failure detector for upstreams and whole halls that stop sending while answers are due. A
// network partition between halls resets no connections, so without this detector each request
// would have to time out by itself.
//
// An upstream is silent if nothing was received from it for longer than the timeout, which
// adapts to observed waits, or if connecting to it failed. A hall is silent if several of its
// upstreams are silent and none has sent anything within the timeout. A silent hall still
// receives occasional trial requests, so that its recovery is detected.
class SilenceDetector {
public:
    struct Bounds {
        // Lower limit of the timeout, so that a late timer or a lost packet isn't silence.
        Microseconds minTimeout { 150000 };
        // Upper limit of the timeout, however slow answers are.
        Microseconds maxTimeout { 2000000 };
        // Time between two trials of a silent hall.
        Microseconds trialPause { 400000 };
        // Number of silent upstreams that make a hall silent; a single one may have crashed.
        size_t upstreamsOfSilentHall { 2 };
    };

    SilenceDetector() = default;
    explicit SilenceDetector(Bounds bounds)
        : m_bounds(bounds)
    {
    }

    // A request is being sent to the upstream.
    void sent(UpstreamId, HallId, Instant now);
    // A connection was established.
    void connected(UpstreamId, Instant now);
    // The first or a further part of the answer arrived after a wait.
    void answerStarted(UpstreamId, Microseconds wait, Instant now);
    void answerContinued(UpstreamId, Microseconds wait, Instant now);
    // Something of the answer has arrived and is not read on for reasons of this daemon.
    void answerHeldBack(UpstreamId, Instant now);
    // Connecting failed or timed out.
    void connectFailed(UpstreamId);
    // The request has ended, with any outcome.
    void ended(UpstreamId, Instant now);
    // This daemon was suspended or stalled for the duration, which doesn't count as waiting time.
    void excludePause(Microseconds duration);
    // This daemon's own links were lost and are back, so the silence was not the upstreams' own.
    void forgetSilence(Instant now);
    // The upstream has been removed from the fleet.
    void remove(UpstreamId upstream) { m_upstreams.erase(upstream); }

    // Returns the reachability of a hall, from all of its upstreams.
    Reach reach(HallId, Instant now) const;
    // Returns whether an answer of this upstream is overdue, or connecting to it failed.
    bool isSilent(UpstreamId, Instant now) const;
    // Returns whether an answer has been due for longer than the timeout or that limit, and no
    // upstream of any hall has sent anything in that time.
    bool areAllSilent(Microseconds limit, Instant now) const;
    // The time without any data from an upstream after which it is silent.
    Microseconds timeout() const;

private:
    // Kept while requests are open or the upstream is silent.
    struct UpstreamState {
        HallId hall;
        size_t open { 0 };
        // When the upstream last sent something; if nothing yet, when this entry's first request
        // was sent.
        Instant waitingSince;
        bool hasConnectFailed { false };
    };
    struct Hall {
        Instant lastActivityAt;
        Instant nextTrialAt;
    };

    void recordActivity(UpstreamId, Instant now);
    bool isSilent(UpstreamState const&, Instant now) const;
    bool isSilent(HallId, Instant now) const;

    Bounds m_bounds;
    WaitEstimate m_firstWaits;
    WaitEstimate m_gaps;
    std::map<UpstreamId, UpstreamState> m_upstreams;
    std::map<HallId, Hall> m_halls;
};

}
