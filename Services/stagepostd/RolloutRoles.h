#pragma once

#include <LibRollout/RolloutSchedule.h>
#include <optional>
#include <set>
#include <stagepostd/ServiceTable.h>
#include <string>
#include <vector>

namespace Stagepost {

// What the roles of a service's upstreams depend on.
struct RolloutRoleInputs {
    std::vector<ServiceTable::VersionedUpstream> upstreams;
    // Versions that may be the target of an order that this daemon does not know yet.
    std::set<std::string> unprovenVersions;
    // The latest order of the service, if there is one.
    std::optional<RolloutState> state;
    // Whether this daemon has the permission to use the old version while its replacement goes on.
    bool mayUseOldVersion { true };
    // Whether this daemon has requests of the slack left; see RolloutSchedule::slackPace.
    bool isSpendingSlack { false };
    // Whether the order's version is the one that serves already.
    bool isTargetServing { false };
    // Versions that appeared after the order was done. The order says nothing about them.
    std::set<std::string> versionsAfterDone;
};

VersionRoles computeVersionRoles(RolloutRoleInputs const&, RolloutSchedule const&);

// Whether the version takes all requests of the service, as of the roles that its upstreams have. An
// operator may go back to it while another version is tried.
bool isServingAlone(std::vector<ServiceTable::VersionedUpstream> const&, std::string const& version);

// Whether each other version that has upstreams is barred.
bool areOthersBarred(std::vector<ServiceTable::VersionedUpstream> const&, RolloutState const&);

}
