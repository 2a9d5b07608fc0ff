#include <stagepostd/RolloutRoles.h>

#include <LibRollout/TrialSet.h>
#include <algorithm>

namespace Stagepost {

namespace {

    // While both versions take requests, only some upstreams of the new one do. Upstreams that are
    // leaving take none.
    std::set<UpstreamId> trialSetOf(RolloutRoleInputs const& inputs, VersionRoles const& roles, RolloutSchedule const& schedule)
    {
        auto const& state = *inputs.state;
        auto const& order = state.order;
        std::vector<UpstreamId> newUpstreams;
        size_t oldUpstreams = 0;
        for (auto const& upstream : inputs.upstreams) {
            if (upstream.isLeaving)
                continue;
            if (upstream.version == order.version)
                newUpstreams.push_back(upstream.id);
            else if (roles.roleOf(upstream.version, upstream.id) == UpstreamRole::Serving)
                ++oldUpstreams;
        }
        auto const share = schedule.shareIn(state.phase);
        std::vector<UpstreamId> selected;
        if (state.phase == RolloutPhase::Trial)
            selected = selectTrialSetAt(asSeconds(state.elapsed) / asSeconds(order.duration), order.id, newUpstreams, oldUpstreams, inputs.isSpendingSlack ? schedule.slackPace * share : share);
        else
            selected = selectTrialSet(order.id, newUpstreams, oldUpstreams, share);
        return { selected.begin(), selected.end() };
    }

    // Once the order is done, the old upstreams stop, so that none of them is used. If no upstream of
    // the order's version is left, operators have replaced it in another way.
    void applyDone(RolloutRoleInputs const& inputs, VersionRoles& roles)
    {
        auto const& version = inputs.state->order.version;
        bool const doesVersionExist = std::any_of(inputs.upstreams.begin(), inputs.upstreams.end(), [&](auto const& upstream) { return upstream.version == version; });
        if (!doesVersionExist)
            return;
        roles.ofOthers = UpstreamRole::Excluded;
        for (auto const& added : inputs.versionsAfterDone)
            roles.byVersion[added] = UpstreamRole::Serving;
    }

    void applyPhase(RolloutRoleInputs const& inputs, VersionRoles& roles)
    {
        auto const& state = *inputs.state;
        auto& ofTarget = roles.byVersion[state.order.version];
        if (!state.isPhaseKnown || state.phase == RolloutPhase::RolledBack) {
            ofTarget = UpstreamRole::Excluded;
            return;
        }
        ofTarget = UpstreamRole::Serving;
        if (state.phase == RolloutPhase::Done) {
            applyDone(inputs, roles);
            return;
        }
        // Without the permission, other daemons may have completed the order.
        if (state.phase == RolloutPhase::Moved || inputs.isTargetServing || !inputs.mayUseOldVersion) {
            roles.ofOthers = UpstreamRole::Excluded;
            return;
        }
        ofTarget = UpstreamRole::Candidate;
    }

}

VersionRoles computeVersionRoles(RolloutRoleInputs const& inputs, RolloutSchedule const& schedule)
{
    VersionRoles roles;
    if (inputs.state) {
        applyPhase(inputs, roles);
        for (auto const& version : inputs.state->barredVersions)
            roles.byVersion[version] = UpstreamRole::Excluded;
    }
    for (auto const& version : inputs.unprovenVersions) {
        if (!inputs.state || version != inputs.state->order.version)
            roles.byVersion[version] = UpstreamRole::Excluded;
    }
    if (inputs.state && roles.byVersion.at(inputs.state->order.version) == UpstreamRole::Candidate)
        roles.trialSet = trialSetOf(inputs, roles, schedule);
    return roles;
}

bool areOthersBarred(std::vector<ServiceTable::VersionedUpstream> const& upstreams, RolloutState const& state)
{
    return std::all_of(upstreams.begin(), upstreams.end(), [&](auto const& upstream) { return upstream.version == state.order.version || state.barredVersions.contains(upstream.version); });
}

bool isServingAlone(std::vector<ServiceTable::VersionedUpstream> const& upstreams, std::string const& version)
{
    bool isServing = false;
    for (auto const& upstream : upstreams) {
        if (upstream.role != UpstreamRole::Serving)
            continue;
        if (upstream.version != version)
            return false;
        isServing = true;
    }
    return isServing;
}

}
