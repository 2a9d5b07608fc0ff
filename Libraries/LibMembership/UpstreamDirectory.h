#pragma once

#include <LibBase/Ids.h>
#include <LibBase/ProvenAge.h>
#include <LibMembership/InFlightCounts.h>
#include <LibMembership/UpstreamRecord.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Stagepost {

// Which upstreams there are, as far as the store has told. A record that is
// taken away means that its upstream is gone, with one exception: after the
// store was out of reach, records that lapsed meanwhile come back within a
// while if their upstreams live, and until then those upstreams stay in. A record of
// an earlier start than is known changes nothing, whoever tells it and when.
class UpstreamDirectory {
public:
    struct Bounds {
        // A silence of the store longer than this counts as an outage.
        Microseconds outage { 1500000 };
        // How long after the store's return a lapsed record may still come back.
        Microseconds returnGrace { 2000000 };
        // How soon an upstream that has left must get no more requests, less a reserve for
        // a request's way and a late tick.
        Microseconds leave { 1700000 };
        // How long the store has to go on naming an earlier start of an upstream than is
        // known before that is believed. A call that the store answers late is done up to
        // some six seconds after its process has died; one whose clock was set back
        // before it started goes on saying so.
        Microseconds earlierStart { 10000000 };
    };

    // The hook is called for each upstream that is new, has changed or is gone.
    UpstreamDirectory(Bounds bounds, std::function<void(UpstreamChange const&)> changed)
        : m_bounds(bounds)
        , m_changed(std::move(changed))
    {
    }

    void put(UpstreamRecord, Instant now);
    void remove(std::string const& instance, Instant now);
    // The whole list, as a read of all records gave it.
    void replace(std::vector<UpstreamRecord> const&, Instant now);
    // The same from a store that has come back from a copy and lacks what was written last.
    // What is missing stays, for this daemon and for those that it tells, until it has had the
    // time to be written again; what was known to leave goes on leaving until it says otherwise.
    void replaceAfterReturn(std::vector<UpstreamRecord> const&, Instant readSentAt, Instant now);
    // A read that was sent then has been answered; call before its records.
    void confirm(Instant readSentAt);
    // Another daemon that has the whole list has this one.
    void confirmWhole() { m_hasList = true; }
    // Drops lapsed records whose grace is over.
    void tick(Instant now);

    bool hasList() const { return m_hasList; }
    // What the store has, as far as it has told. Upstreams that may still come back
    // stay in use here but are not among them: other daemons judge by themselves
    // whether the store was out of their reach.
    std::map<std::string, UpstreamRecord> const& records() const { return m_records; }
    ProvenAge const& age() const { return m_age; }
    // The same for all daemons that know the same records; what changes by itself
    // with time is left out.
    uint64_t hash() const { return m_hash; }

    // What has changed since the records had that hash, or none where that is too
    // long ago or was never so.
    std::optional<std::vector<UpstreamChange>> changesSince(uint64_t hash) const;

    // The upstreams that there were when the records had that hash, by the order
    // of their instances' names, or null where that is too long ago or was never so.
    std::shared_ptr<UpstreamList const> listAt(uint64_t hash) const;

private:
    // The changes that are kept for changesSince(): a release changes a record or
    // two a second, and whoever has missed more takes the whole list.
    static constexpr size_t longestHistory = 64;
    // The lists that are kept ready: messages go by the newest ones.
    static constexpr size_t mostListsReady = 8;

    struct PastChange {
        uint64_t hashBefore { 0 };
        std::optional<UpstreamId> idBefore;
        UpstreamChange change;
    };

    Instant graceOfRemoval() const;
    std::shared_ptr<UpstreamList const> makeList(uint64_t hash) const;
    void noteChange(std::string const& instance, std::optional<UpstreamId> idBefore, uint64_t difference);
    void take(UpstreamRecord);
    bool isOfEarlierStart(UpstreamRecord const&, Instant now);
    std::vector<std::string> putAll(std::vector<UpstreamRecord> const&, Instant now);
    bool isLeaving(UpstreamRecord const&) const;
    void dropLost(Instant now);

    Bounds m_bounds;
    std::function<void(UpstreamChange const&)> m_changed;
    std::map<std::string, UpstreamRecord> m_records;
    // Upstreams that the store no longer has, until when they stay in use.
    std::map<std::string, Instant> m_lapsed;
    // Upstreams that the store has lost, until when they may be written again.
    std::map<std::string, Instant> m_lost;
    struct EarlierStart {
        UpstreamRecord record;
        Instant since;
    };
    // Upstreams that were last said to have started earlier than is known.
    std::map<std::string, EarlierStart> m_earlierStarts;
    std::deque<PastChange> m_history;
    // A list never changes once its hash is known, so it is made only once.
    mutable std::deque<std::pair<uint64_t, std::shared_ptr<UpstreamList const>>> m_lists;
    uint64_t m_hash { 0 };
    ProvenAge m_age;
    Instant m_graceUntil;
    // As of when the list was proven before the read that is being taken, and whether
    // that read has ended an outage.
    std::optional<Instant> m_provenBefore;
    bool m_endsOutage { false };
    bool m_hasList { false };
};

}
