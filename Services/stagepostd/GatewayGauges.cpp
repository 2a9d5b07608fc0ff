#include <stagepostd/GatewayGauges.h>

namespace Stagepost {

void setServiceGauges(ServiceTable const& table, Instant now, Metrics& metrics)
{
    for (auto const& [name, service] : table.services()) {
        auto const label = "{service=\"" + name + "\"}";
        auto const occupancy = service->placement.occupancy();
        metrics.setGauge("stagepost_requests_per_place" + label, occupancy.perSlot);
        metrics.setGauge("stagepost_turned_away_share" + label, AdmissionGate::refusedShare(occupancy, 0));
        metrics.setGauge("stagepost_cold_upstreams" + label, static_cast<double>(service->placement.coldCount(now)));
        metrics.setGauge("stagepost_resting_upstreams" + label, static_cast<double>(service->placement.backingOffCount(now)));
        metrics.setGauge("stagepost_brittle" + label, service->placement.isBrittle(now) ? 1 : 0);
        metrics.setGauge("stagepost_counts_age_seconds" + label, asSeconds(service->placement.countsAge()));
        metrics.setGauge("stagepost_mean_load" + label, service->placement.meanLoad());
    }
}

void setCrashGauges(CrashSuspects const& requests, PromptPartSuspects const& parts, Instant now, Metrics& metrics)
{
    metrics.setGauge("stagepost_suspect_requests", static_cast<double>(requests.suspects().size()));
    metrics.setGauge("stagepost_suspect_prompt_parts", static_cast<double>(parts.evidence().suspects().size()));
    metrics.setGauge("stagepost_poison_prompt_parts", static_cast<double>(parts.poisonCount(now)));
}

}
