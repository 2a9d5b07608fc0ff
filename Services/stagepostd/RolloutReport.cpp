#include <stagepostd/RolloutReport.h>

#include <LibBase/Log.h>

namespace Stagepost {

namespace {

    int64_t milliseconds(Microseconds duration)
    {
        return std::chrono::duration_cast<Milliseconds>(duration).count();
    }

    // The traffic of all versions but the order's.
    VersionTraffic oldTraffic(ServiceRollout const& rollout)
    {
        VersionTraffic sum;
        for (auto const& [version, traffic] : rollout.traffic()) {
            if (version == rollout.order().version)
                continue;
            sum.sends += traffic.sends;
            sum.answers += traffic.answers;
            sum.badAnswers += traffic.badAnswers;
        }
        return sum;
    }

    VersionTraffic newTraffic(ServiceRollout const& rollout)
    {
        auto const found = rollout.traffic().find(rollout.order().version);
        return found == rollout.traffic().end() ? VersionTraffic {} : found->second;
    }

    std::string join(std::set<std::string> const& names)
    {
        std::string text;
        for (auto const& name : names)
            text += (text.empty() ? "" : ",") + name;
        return text;
    }

    std::string describe(ServiceRollout const& rollout, RolloutState const& state, Instant now)
    {
        auto const& order = rollout.order();
        auto const& coordinator = rollout.coordinator();
        auto const verdict = coordinator.verdict();
        auto const ofNew = newTraffic(rollout);
        auto const ofOld = oldTraffic(rollout);
        return formatEvent("rollout",
            { { "service", order.service }, { "version", order.version }, { "order", nameOf(order.id) }, { "phase", nameOf(state.phase) },
                { "elapsed_ms", milliseconds(state.elapsed) }, { "duration_ms", milliseconds(order.duration) }, { "barred", join(state.barredVersions) },
                { "sends", ofNew.sends }, { "answers", ofNew.answers }, { "bad_answers", ofNew.badAnswers },
                { "old_sends", ofOld.sends }, { "old_answers", ofOld.answers }, { "old_bad_answers", ofOld.badAnswers },
                { "may_use_old", coordinator.mayUseOldVersion(now) ? 1 : 0 }, { "judge", coordinator.isJudge() ? 1 : 0 },
                { "condemned", verdict.isCondemned ? 1 : 0 }, { "evidence", verdict.evidence },
                { "judged_answers", verdict.newVersion.answers }, { "judged_bad_answers", verdict.newVersion.bad }, { "evidence_age_ms", milliseconds(coordinator.evidenceAge(now)) } });
    }

}

std::string describeRollouts(RolloutController const& controller)
{
    std::string text;
    for (auto const& state : controller.states().states) {
        auto const rollout = controller.rollouts().find(state.order.service);
        if (rollout == controller.rollouts().end())
            text += formatEvent("rollout", { { "service", state.order.service }, { "version", state.order.version }, { "order", nameOf(state.order.id) }, { "phase", "unknown" } });
        else
            text += describe(*rollout->second, state, controller.now());
        text += '\n';
    }
    return text.empty() ? "no orders\n" : text;
}

void setRolloutGauges(RolloutController const& controller, Metrics& metrics)
{
    for (auto const& [service, rollout] : controller.rollouts()) {
        auto const label = "{service=\"" + service + "\"}";
        metrics.setGauge("stagepost_rollout_phase" + label, static_cast<double>(rollout->phase()));
        metrics.setGauge("stagepost_rollout_evidence_age_seconds" + label, asSeconds(rollout->coordinator().evidenceAge(controller.now())));
    }
}

}
