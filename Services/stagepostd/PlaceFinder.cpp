#include <stagepostd/PlaceFinder.h>

namespace Stagepost {

void PlaceFinder::find(Search search) const
{
    bool const needsPermit = search.request.context || m_placement.needsPermits(m_services.loop.now());
    if (needsPermit && m_services.peers.canRequestPermits())
        requestPermit(std::move(search));
    else
        findWithoutPermit(search);
}

// The counts that daemons exchange are older than the duration of many requests. If a whole fleet
// placed requests by them, it would overload an upstream and then leave it empty.
void PlaceFinder::requestPermit(Search search) const
{
    auto candidates = m_placement.candidatesForOwners(search.request, m_services.loop.now());
    if (candidates.empty())
        return findWithoutPermit(search);
    auto const context = search.request.context;
    m_services.peers.requestPermit({ context, std::move(candidates) }, [finder = *this, search = std::move(search)](auto const& outcome) { finder.handlePermit(search, outcome); });
}

void PlaceFinder::handlePermit(Search const& search, PermitExchange::Outcome const& permit) const
{
    Outcome outcome;
    outcome.place = placeAt(permit.upstream);
    outcome.isContextNew = permit.isContextNew;
    if (!search.isWanted())
        return;
    outcome.choice = m_placement.choiceFromOwners(search.request, permit, m_services.loop.now());
    if (outcome.choice && outcome.isContextNew && search.request.context)
        return findContextSource(search, std::move(outcome));
    if (outcome.choice)
        return search.found(std::move(outcome));
    outcome.place.release();
    outcome.isFull = permit.isFull;
    if (outcome.isFull)
        return search.found(std::move(outcome));
    auto remaining = search;
    remaining.request.avoided = permit.exhausted;
    findWithoutPermit(remaining);
}

// By the counts that this daemon has: no permit is needed, or no owner can be reached.
void PlaceFinder::findWithoutPermit(Search const& search) const
{
    Outcome outcome;
    outcome.choice = m_placement.choose(search.request, m_services.loop.now());
    auto const* target = outcome.choice ? m_services.serviceTable.target(outcome.choice->upstream) : nullptr;
    if (target && search.keepsContext) {
        m_services.peers.requestStarted(outcome.choice->upstream, target->hall);
        outcome.place = placeAt(outcome.choice->upstream);
    }
    search.found(std::move(outcome));
}

// Asking which upstreams hold the context is faster than letting the upstream compute it again.
void PlaceFinder::findContextSource(Search const& search, Outcome found) const
{
    auto const outcome = std::make_shared<Outcome>(std::move(found));
    m_services.peers.findContextHolders(*search.request.context, outcome->choice->upstream, [finder = *this, search, outcome](std::vector<UpstreamId> const& holders) {
        if (!search.isWanted())
            return;
        auto& choice = *outcome->choice;
        if (auto const source = finder.m_placement.firstUsableSource(holders, choice.upstream, finder.m_services.loop.now(), search.request.version))
            choice.contextSource = source;
        search.found(std::move(*outcome));
    });
}

}
