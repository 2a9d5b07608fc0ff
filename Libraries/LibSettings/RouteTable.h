#pragma once

#include <LibBase/Time.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Stagepost {

// What may be done with a request of a route after it was sent to an upstream.
enum class RequestKind : uint8_t {
    // It may run more than once.
    Repeatable,
    // It runs at most once.
    Once,
    // Its answer is a stream of events; it runs at most once, unless the route
    // says that a stream may be taken up again.
    Stream,
};

struct ServiceShare {
    std::string service;
    // Relative to the other shares of the route.
    uint32_t weight { 1 };
};

// Where requests of one host and path go, and what they are promised.
struct Route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind { RequestKind::Once };
    // The longest that a request may be held.
    Milliseconds timeout { 60000 };
    // Within which an answer, or the first event of a stream, is in time.
    Milliseconds latencyObjective { 1000 };
    // The longest pause between two events that is still in time.
    std::optional<Milliseconds> gapObjective;
    // 0 is the most urgent.
    unsigned priority { 5 };
    // To how many upstreams one request may be sent.
    size_t mostAttempts { 1 };
    // Whether requests need no key.
    bool isPublic { false };
    // Whether requests find earlier context at their upstreams.
    bool keepsContext { false };
    bool isResumable { false };
    std::vector<ServiceShare> shares;

    // Whether a request that may have run can be sent again.
    bool isRepeatable() const { return kind == RequestKind::Repeatable || (kind == RequestKind::Stream && isResumable); }
};

// A route as a table holds it, with what its place is found by: a table of thousands is
// made anew for each change, and does not touch the routes themselves for that.
struct RouteEntry {
    explicit RouteEntry(Route);

    std::shared_ptr<Route const> route;
    // Of the host and the prefix.
    uint64_t placeHash { 0 };
    size_t prefixLength { 0 };
};

// Upstreams that serve the same requests.
struct Service {
    std::string name;
    // How many connections each upstream takes from all callers together.
    size_t mostConnections { 0 };
    // How many tokens of contexts each upstream keeps; 0 where it keeps none.
    uint64_t contextTokens { 0 };
    // Whether its upstreams take contexts from one another.
    bool movesContexts { false };
    // How many requests a second an upstream handles while it is cold, 0 where none ever is;
    // and how long it is after its start.
    double coldPerSecond { 0 };
    Milliseconds coldDuration { 0 };
};

struct RoutedOrganisation {
    std::string name;
    // Goes before the priority of the route.
    std::optional<unsigned> priority;
};

// What callers are held to.
struct CallerLimits {
    size_t headerBytes { 16384 };
    size_t bodyBytes { 8388608 };
    Milliseconds headerTimeout { 15000 };
    Milliseconds idleTimeout { 75000 };
};

// One accepted configuration of routes, services and keys.
class RouteTable {
public:
    struct Parts {
        // Rises with each configuration, in uneven steps.
        uint64_t version { 0 };
        // Shared with the table before it where they have not changed: of thousands of
        // routes a change touches a few.
        std::vector<RouteEntry> routes;
        std::vector<Service> services;
        std::vector<RoutedOrganisation> organisations;
        // Each key with the index of its organisation.
        std::unordered_map<std::string, size_t> organisationByKey;
        // Whether callers need keys at all.
        bool hasOrganisations { false };
        CallerLimits limits;
    };

    explicit RouteTable(Parts);

    uint64_t version() const { return m_parts.version; }
    CallerLimits const& limits() const { return m_parts.limits; }
    std::vector<Service> const& services() const { return m_parts.services; }
    size_t routeCount() const { return m_parts.routes.size(); }
    bool needsKeys() const { return m_parts.hasOrganisations; }

    // The route of that host with the longest prefix of the path, or none. A port
    // behind the host is passed over.
    Route const* find(std::string_view host, std::string_view path) const;
    Service const* service(std::string_view name) const;
    RoutedOrganisation const* organisationOf(std::string const& key) const;

private:
    void index();
    void addToIndex(size_t route);
    Route const* routeAt(std::string_view host, std::string_view prefix) const;
    size_t slotOf(uint64_t placeHash) const { return placeHash & (m_slots.size() - 1); }

    Parts m_parts;
    // An open hash table: each slot holds the number of a route from 1 on, or 0. Its size
    // is a power of two.
    std::vector<uint32_t> m_slots;
    // The lengths that prefixes have, the longest first. A request is looked up once for
    // each of these few, and not once for each of the thousands of routes of its host.
    std::vector<size_t> m_prefixLengths;
};

}
