#pragma once

#include <LibBase/Ids.h>
#include <LibBase/ProvenAge.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Stagepost {

// What an upstream has recorded of itself in the platform's store.
struct UpstreamRecord {
    // The name of this start of the upstream's process.
    std::string instance;
    std::string service;
    // IP:PORT.
    std::string address;
    std::string hall;
    // Requests that it works on at once.
    size_t slots { 1 };
    bool isLeaving { false };
    // How much longer it stays slow after its start.
    Milliseconds coldLeft { 0 };

    UpstreamId id() const { return UpstreamId::fromName(instance); }
    bool operator==(UpstreamRecord const&) const = default;
};

// Which upstreams there are, as far as the store has told. A record that is
// taken away means that its upstream is gone, with one exception: after the
// store was out of reach, records that lapsed meanwhile come back within a
// while if their upstreams live, and until then those upstreams stay in.
class UpstreamDirectory {
public:
    struct Bounds {
        // A silence of the store longer than this counts as an outage.
        Microseconds outage { 1500000 };
        // How long after the store's return a lapsed record may still come back.
        Microseconds returnGrace { 2000000 };
    };

    // The hook is called whenever the upstreams in use may have changed.
    UpstreamDirectory(Bounds bounds, std::function<void()> changed)
        : m_bounds(bounds)
        , m_changed(std::move(changed))
    {
    }

    void put(UpstreamRecord, Instant now);
    void remove(std::string const& instance, Instant now);
    // The whole list, as a read of all records gave it.
    void replace(std::vector<UpstreamRecord> const&, Instant now);
    // A read that was sent then has been answered; call before its records.
    void confirm(Instant readSentAt, Instant now);
    // Drops lapsed records whose grace is over.
    void tick(Instant now);

    bool hasList() const { return m_hasList; }
    // Every upstream that is recorded or may still come back.
    std::map<std::string, UpstreamRecord> const& records() const { return m_records; }
    ProvenAge const& age() const { return m_age; }
    // The same for all daemons that know the same records; what changes by itself
    // with time is left out.
    uint64_t hash() const;

private:
    bool isGracious(Instant now) const { return now < m_graceUntil; }

    Bounds m_bounds;
    std::function<void()> m_changed;
    std::map<std::string, UpstreamRecord> m_records;
    // Records that the store no longer has, until when they stay in.
    std::map<std::string, Instant> m_lapsed;
    ProvenAge m_age;
    Instant m_graceUntil;
    bool m_hasList { false };
};

}
