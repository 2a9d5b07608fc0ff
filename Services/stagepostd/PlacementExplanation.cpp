#include <stagepostd/PlacementExplanation.h>

#include <stagepostd/RequestReader.h>

namespace Stagepost {

std::vector<CandidateExplanation> explainPlacement(PlacementKnowledge const& from, ExplainedChat const& asked, Instant now)
{
    std::vector<CandidateExplanation> result;
    auto const settings = from.policies.settings();
    if (!settings)
        return result;
    auto const pool = settings->poolByModel.find(asked.model);
    if (pool == settings->poolByModel.end())
        return result;
    auto const id = chatIdOf(asked.chat, OrganisationId::fromName("organisations." + asked.organisation), pool->second);
    auto const mean = from.node.leaseServer().loads().mean(pool->second, now);
    auto const nameOfVM = [&](VMId vm) {
        auto const* entry = from.vms.find(vm);
        return entry ? entry->name : from.ownName;
    };
    for (auto const upstream : from.node.view().candidates(pool->second, id, from.policies.pool(pool->second).candidates)) {
        CandidateExplanation row;
        auto const* entry = from.vms.find(VMId(upstream.value()));
        row.upstream = entry ? entry->name : "";
        row.hall = entry ? entry->hall : "";
        if (auto const owner = from.node.view().ownerOf(upstream))
            row.owner = nameOfVM(*owner);
        if (auto* owner = from.node.leaseServer().find(upstream)) {
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
