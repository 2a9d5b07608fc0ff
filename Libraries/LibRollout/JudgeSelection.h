#pragma once

#include <LibBase/FleetPeer.h>
#include <LibBase/Time.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Stagepost {

// Selects the judge that a daemon reports to: the first of its hall in rank that replies, or the daemon itself.
class JudgeSelection {
public:
    struct Bounds {
        // A judge that has not replied for this long is replaced by the next in rank.
        Microseconds timeout { 1200000 };
        // The interval between reports that ask for a reply, while these arrive. Shorter than the
        // lease by one report, so that one lost reply interrupts a lease only shortly.
        Microseconds replyInterval { 900000 };
        // The interval at which daemons that had not replied are asked again.
        Microseconds probeInterval { 2000000 };
    };

    JudgeSelection(VMId self, std::string service, Bounds bounds)
        : m_self(self)
        , m_service(std::move(service))
        , m_bounds(bounds)
    {
        m_ranking = { self };
    }

    // The daemons of the own hall, with this one.
    void setHall(std::vector<VMId>);
    VMId judge() const;
    bool isSelf() const { return judge() == m_self; }

    bool needsReply(Instant now) const;
    void asked(Instant now);
    // A daemon has replied to a report, and renewed the lease or not.
    void replied(VMId, bool hasRenewed);
    // Ignores that replies are missing: this process was paused.
    void resumed(Instant now);
    void tick(Instant now);
    // The silent daemons of a higher rank that should be asked now.
    std::vector<VMId> takeProbes(Instant now);

private:
    VMId m_self;
    std::string m_service;
    Bounds m_bounds;
    std::vector<VMId> m_ranking;
    // Daemons that did not reply, and when they were last asked.
    std::map<VMId, Instant> m_silent;
    // The first report to the judge that it has not replied to.
    std::optional<Instant> m_unansweredSince;
    std::optional<Instant> m_askedAt;
};

}
