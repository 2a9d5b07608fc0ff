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

// Whether a request of a route may be retried after it was sent to an upstream.
enum class RequestKind : uint8_t {
    // May run more than once.
    Idempotent,
    // Runs at most once.
    AtMostOnce,
    // The response is a stream of events. The request runs at most once, unless streams of the
    // route are resumable.
    Stream,
};

struct ServiceShare {
    std::string service;
    // Relative to the other shares of the route.
    uint32_t weight { 1 };
};

// The services for requests of one host and path prefix, with their limits and objectives.
struct Route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind { RequestKind::AtMostOnce };
    // The longest time that a request may take.
    Milliseconds timeout { 60000 };
    // The objective for the time to a response, or to the first event of a stream.
    Milliseconds latencyObjective { 1000 };
    // The objective for the time between two events of a stream.
    std::optional<Milliseconds> gapObjective;
    // 0 is the most urgent.
    unsigned priority { 5 };
    // The number of upstreams to which one request may be sent.
    size_t maxAttempts { 1 };
    // Whether requests need no API key.
    bool isPublic { false };
    // Whether upstreams keep the context of a request for later ones, so that requests are
    // placed where their context is.
    bool keepsContext { false };
    bool isResumable { false };
    std::vector<ServiceShare> shares;

    // Whether a request that may have run can be sent again.
    bool isRepeatable() const { return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && isResumable); }
};

// A route with its precomputed lookup values. A table of thousands of routes is rebuilt for each
// change of the configuration; thanks to these values it need not read the routes themselves.
struct RouteEntry {
    explicit RouteEntry(Route);

    std::shared_ptr<Route const> route;
    // The hash of the host and the path prefix.
    uint64_t lookupHash { 0 };
    size_t prefixLength { 0 };
    // The time for which its streams may be taken up, 0 if they can't be.
    Milliseconds resumableTime { 0 };
};

// Upstreams that serve the same requests.
struct Service {
    std::string name;
    // The number of connections that each upstream accepts from all callers together.
    size_t maxConnections { 0 };
    // The capacity for contexts of each upstream in tokens, 0 if it keeps none.
    uint64_t contextTokens { 0 };
    // Whether its upstreams can fetch contexts from one another.
    bool movesContexts { false };
    // The requests per second that a cold upstream handles, 0 if upstreams are never cold, and
    // how long an upstream stays cold after its start.
    double coldPerSecond { 0 };
    Milliseconds coldDuration { 0 };
};

struct RoutedOrganisation {
    std::string name;
    // Overrides the priority of the route.
    std::optional<unsigned> priority;
};

// The limits that are enforced on callers' connections and requests.
struct CallerLimits {
    size_t headerBytes { 16384 };
    size_t bodyBytes { 8388608 };
    Milliseconds headerTimeout { 15000 };
    Milliseconds idleTimeout { 75000 };
};

// One accepted configuration of routes, services and API keys. It is immutable.
class RouteTable {
public:
    struct Parts {
        // Increases with each configuration, not necessarily by 1.
        uint64_t version { 0 };
        // Unchanged routes are shared with the previous table, because a change affects only a
        // few of thousands.
        std::vector<RouteEntry> routes;
        std::vector<Service> services;
        std::vector<RoutedOrganisation> organisations;
        // Maps each API key to an index into organisations.
        std::unordered_map<std::string, size_t> organisationByKey;
        // Whether the configuration lists organisations, so that callers need API keys.
        bool hasOrganisations { false };
        CallerLimits limits;
    };

    explicit RouteTable(Parts);

    uint64_t version() const { return m_parts.version; }
    CallerLimits const& limits() const { return m_parts.limits; }
    std::vector<Service> const& services() const { return m_parts.services; }
    size_t routeCount() const { return m_parts.routes.size(); }
    // For how long streams may be taken up, by the route that allows the most; 0 if no route does.
    Milliseconds longestResumableTime() const { return m_longestResumableTime; }
    bool needsKeys() const { return m_parts.hasOrganisations; }

    // The route of the host with the longest matching path prefix, or null. A port after the
    // host is ignored.
    Route const* find(std::string_view host, std::string_view path) const;
    Service const* service(std::string_view name) const;
    RoutedOrganisation const* organisationOf(std::string const& key) const;

private:
    void buildIndex();
    void insertIntoIndex(size_t routeIndex);
    Route const* findExact(std::string_view host, std::string_view prefix) const;
    size_t slotOf(uint64_t lookupHash) const { return lookupHash & (m_slots.size() - 1); }

    Parts m_parts;
    Milliseconds m_longestResumableTime { 0 };
    // A hash table with open addressing and linear probing. A slot holds the index of a route
    // plus 1, or 0 if it is empty. The size is a power of two.
    std::vector<uint32_t> m_slots;
    // The distinct lengths of path prefixes, the longest first. There are few of them, so a
    // lookup for each is cheaper than comparing the thousands of routes of a host.
    std::vector<size_t> m_prefixLengths;
};

}
