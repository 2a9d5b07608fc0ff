#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Stagepost {

// This daemon's part of an allowance that the whole fleet has per window. The parts that all daemons
// use within any window add up to at most the whole, although daemons learn late of each other, end
// without notice, and are replaced by new processes.
//
// The parts are equal, and a daemon uses its part only under two conditions:
// - Its list of daemons was proven to be current within the last maxProofAge.
// - It has been on that list for a window and maxProofAge longer.
// So any other daemon whose list is proven lists this one before this one uses its part, and by then
// what an earlier process of this VM has used is out of the window. A daemon that leaves the list is
// still counted for that time, so that parts shrink at once and grow late.
//
// When the whole fleet starts for the first time, nobody has used anything yet. Daemons that have
// registered shortly after such a start need not wait for a window, but only until their lists are
// proven to be from after the registrations of all of them.
class FleetShare {
public:
    struct Bounds {
        Microseconds window { 10000000 };
        Microseconds maxProofAge { 5000000 };
    };

    // Takes the time of this daemon's start if that was a first start of the whole fleet.
    explicit FleetShare(Bounds bounds, std::optional<Instant> firstStartAt = {})
        : m_bounds(bounds)
        , m_firstStartAt(firstStartAt)
    {
    }

    // This daemon's entry was added to the list.
    void registered(Instant now);

    // Sets the other daemons on the list.
    void setOthers(std::vector<VMId> const&, Instant now);
    // The list was current at the given time, and included this daemon or not.
    void confirm(Instant provenAt, bool isListed, Instant now);
    // This daemon is about to stop. Its next process may start before it has ended.
    void leave() { m_isLeaving = true; }
    bool isLeaving() const { return m_isLeaving; }

    // The part that this daemon may use now, from 0 to 1.
    double usable(Instant now) const;
    // The other daemons that have a part: those on the list, and those that were of late.
    std::vector<VMId> counted(Instant now) const;
    // An equal part, whether or not it may be used now. For allowances that need no strict bound.
    double equal(Instant now) const;

private:
    Microseconds settlingTime() const { return m_bounds.window + m_bounds.maxProofAge; }
    bool isSettled(Instant now) const;

    Bounds m_bounds;
    // Reset once this daemon can't rely any more on having started and registered together with the others.
    std::optional<Instant> m_firstStartAt;
    bool m_isRegistered { false };
    std::set<VMId> m_others;
    // When daemons were last on the list that no longer are.
    std::map<VMId, Instant> m_departedAt;
    std::optional<Instant> m_provenAt;
    // Since when the proofs have been close enough to each other that no daemon can have come, used its
    // part and gone between two of them.
    std::optional<Instant> m_listedSince;
    bool m_isLeaving { false };
};

}
