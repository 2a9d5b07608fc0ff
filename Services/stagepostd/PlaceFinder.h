#pragma once

#include <LibRouting/ServicePlacement.h>
#include <functional>
#include <stagepostd/GatewayServices.h>
#include <stagepostd/InFlightPlace.h>

namespace Stagepost {

// Finds a place for a request at an upstream of its service: asks the upstreams' owners where the load has to be
// bounded, and which upstream holds the request's context.
class PlaceFinder {
public:
    struct Outcome {
        // None if no upstream takes the request.
        std::optional<ServicePlacement::Choice> choice;
        InFlightPlace place;
        // Whether the upstream's owner has not seen the request's context there.
        bool isContextNew { false };
        // Whether there is no choice because the upstreams hold what the load bound allows.
        bool isFull { false };
    };

    struct Search {
        ServicePlacement::Request request;
        // Whether the route keeps contexts. Then the request is reported to the upstream's owner in any case.
        bool keepsContext { false };
        // Asked after each wait for other daemons. If the place is no longer wanted, the search ends without a
        // call of the hook below.
        std::function<bool()> isWanted;
        std::function<void(Outcome&&)> found;
    };

    // Both must outlive the searches.
    PlaceFinder(GatewayServices const& services, ServicePlacement& placement)
        : m_services(services)
        , m_placement(placement)
    {
    }

    // May call back at once.
    void find(Search) const;

private:
    void requestPermit(Search) const;
    void handlePermit(Search const&, PermitExchange::Outcome const&) const;
    void findWithoutPermit(Search const&) const;
    void findContextSource(Search const&, Outcome) const;
    InFlightPlace placeAt(std::optional<UpstreamId> upstream) const { return { m_services.peers, m_services.lifetime, upstream }; }

    GatewayServices const& m_services;
    ServicePlacement& m_placement;
};

}
