#include <LibSettings/RouteTable.h>

#include <LibBase/Hash.h>
#include <algorithm>
#include <bit>
#include <functional>
#include <set>

namespace Stagepost {

namespace {

    uint64_t lookupHashOf(std::string_view host, std::string_view prefix)
    {
        return mixHashes(hashOf(host), hashOf(prefix));
    }

    bool hasHostAndPrefix(Route const& route, std::string_view host, std::string_view prefix)
    {
        return route.host == host && route.pathPrefix == prefix;
    }

}

RouteEntry::RouteEntry(Route newRoute)
    : route(std::make_shared<Route const>(std::move(newRoute)))
    , lookupHash(lookupHashOf(route->host, route->pathPrefix))
    , prefixLength(route->pathPrefix.size())
    , resumableTime(route->kind == RequestKind::Stream && route->isResumable ? route->timeout : Milliseconds(0))
{
}

RouteTable::RouteTable(Parts parts)
    : m_parts(std::move(parts))
{
    buildIndex();
}

void RouteTable::buildIndex()
{
    // The load factor is at most one half, which keeps probe sequences short.
    m_slots.resize(std::bit_ceil(2 * m_parts.routes.size() + 1));
    std::set<size_t, std::greater<>> lengths;
    for (size_t routeIndex = 0; routeIndex < m_parts.routes.size(); ++routeIndex) {
        insertIntoIndex(routeIndex);
        lengths.insert(m_parts.routes[routeIndex].prefixLength);
        m_longestResumableTime = std::max(m_longestResumableTime, m_parts.routes[routeIndex].resumableTime);
    }
    m_prefixLengths.assign(lengths.begin(), lengths.end());
}

// Of two routes with the same host and prefix the first is found, since it is inserted first
// and therefore probed first.
void RouteTable::insertIntoIndex(size_t routeIndex)
{
    auto slot = slotOf(m_parts.routes[routeIndex].lookupHash);
    while (m_slots[slot])
        slot = slotOf(slot + 1);
    m_slots[slot] = static_cast<uint32_t>(routeIndex + 1);
}

Route const* RouteTable::findExact(std::string_view host, std::string_view prefix) const
{
    auto const hash = lookupHashOf(host, prefix);
    for (auto slot = slotOf(hash); m_slots[slot]; slot = slotOf(slot + 1)) {
        auto const& entry = m_parts.routes[m_slots[slot] - 1];
        if (entry.lookupHash == hash && hasHostAndPrefix(*entry.route, host, prefix))
            return entry.route.get();
    }
    return nullptr;
}

Route const* RouteTable::find(std::string_view host, std::string_view path) const
{
    auto const name = host.substr(0, host.find(':'));
    for (auto const length : m_prefixLengths) {
        if (length > path.size())
            continue;
        if (auto const* route = findExact(name, path.substr(0, length)))
            return route;
    }
    return nullptr;
}

Service const* RouteTable::service(std::string_view name) const
{
    auto const found = std::find_if(m_parts.services.begin(), m_parts.services.end(), [&](auto const& service) { return service.name == name; });
    return found == m_parts.services.end() ? nullptr : &*found;
}

RoutedOrganisation const* RouteTable::organisationOf(std::string const& key) const
{
    auto const found = m_parts.organisationByKey.find(key);
    return found == m_parts.organisationByKey.end() ? nullptr : &m_parts.organisations.at(found->second);
}

}
