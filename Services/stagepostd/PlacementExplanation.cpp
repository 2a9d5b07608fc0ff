#include <stagepostd/PlacementExplanation.h>

#include <stagepostd/RequestReader.h>

namespace Stagepost {

std::vector<CandidateExplanation> explainPlacement(ExplanationSources const& sources, ChatQuery const& query, Instant now)
{
    std::vector<CandidateExplanation> result;
    auto const settings = sources.policies.settings();
    if (!settings)
        return result;
    auto const pool = settings->poolByModel.find(query.model);
    if (pool == settings->poolByModel.end())
        return result;
    auto const id = chatIdOf(query.chat, OrganisationId::fromName("organisations." + query.organisation), pool->second);
    auto const mean = sources.admission.leaseServer().loads().mean(pool->second, now);
    auto const nameOfVM = [&](VMId vm) {
        auto const* entry = sources.vms.find(vm);
        return entry ? entry->name : sources.daemonName;
    };
    for (auto const upstream : sources.admission.view().candidates(pool->second, id, sources.policies.pool(pool->second).candidates)) {
        CandidateExplanation row;
        auto const* entry = sources.vms.find(VMId(upstream.value()));
        row.upstream = entry ? entry->name : "";
        row.hall = entry ? entry->hall : "";
        if (auto const owner = sources.admission.view().ownerOf(upstream))
            row.owner = nameOfVM(*owner);
        if (auto* owner = sources.admission.leaseServer().find(upstream)) {
            row.isOwnedHere = true;
            row.load = owner->load();
            row.cap = owner->cap(mean, now);
            row.holdsContext = owner->contexts().contains(id);
        }
        result.push_back(row);
    }
    return result;
}

}
