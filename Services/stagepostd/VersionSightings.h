#pragma once

#include <LibBase/Time.h>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Stagepost {

// When this daemon first saw upstreams of each version of a service. A version that appears beside
// another one may be the target of an order that this daemon has not read yet.
class VersionSightings {
public:
    // Records the versions that the service's upstreams run now.
    void update(std::string const& service, std::set<std::string> const& versions, Instant now);

    // The versions beside another one that were first seen after the time as of which all orders are
    // known. If no orders are known, these are all.
    std::set<std::string> unprovenVersions(std::string const& service, std::optional<Instant> ordersProvenAt) const;

    // The versions that appeared beside others after the given time. Those that were there when this
    // daemon first saw the service do not count, since it cannot tell how old they are.
    std::set<std::string> versionsAddedSince(std::string const& service, Instant) const;

private:
    struct Sighting {
        Instant since;
        bool isInitial { false };
    };

    std::map<std::string, std::map<std::string, Sighting>> m_services;
};

}
