#include <LibSettings/RouteTable.h>

#include <LibBase/Hash.h>
#include <algorithm>
#include <functional>
#include <set>

namespace Stagepost {

size_t RouteTable::PlaceHash::operator()(Place const& place) const
{
    return mixHashes(hashOf(place.host), hashOf(place.pathPrefix));
}

RouteTable::RouteTable(Parts parts)
    : m_parts(std::move(parts))
{
    std::set<size_t, std::greater<>> lengths;
    m_routesByPlace.reserve(m_parts.routes.size());
    for (auto const& route : m_parts.routes) {
        m_routesByPlace.emplace(Place { route->host, route->pathPrefix }, route.get());
        lengths.insert(route->pathPrefix.size());
    }
    m_prefixLengths.assign(lengths.begin(), lengths.end());
}

Route const* RouteTable::find(std::string_view host, std::string_view path) const
{
    auto const name = host.substr(0, host.find(':'));
    for (auto const length : m_prefixLengths) {
        if (length > path.size())
            continue;
        auto const found = m_routesByPlace.find({ name, path.substr(0, length) });
        if (found != m_routesByPlace.end())
            return found->second;
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
