#include <LibSettings/RouteTable.h>

#include <algorithm>

namespace Stagepost {

RouteTable::RouteTable(Parts parts)
    : m_parts(std::move(parts))
{
    for (size_t index = 0; index < m_parts.routes.size(); ++index)
        m_routesByHost[m_parts.routes[index].host].push_back(index);
    for (auto& [host, indices] : m_routesByHost) {
        std::stable_sort(indices.begin(), indices.end(), [this](size_t first, size_t second) {
            return m_parts.routes[first].pathPrefix.size() > m_parts.routes[second].pathPrefix.size();
        });
    }
}

Route const* RouteTable::find(std::string_view host, std::string_view path) const
{
    auto const found = m_routesByHost.find(std::string(host.substr(0, host.find(':'))));
    if (found == m_routesByHost.end())
        return nullptr;
    for (auto const index : found->second) {
        if (path.starts_with(m_parts.routes[index].pathPrefix))
            return &m_parts.routes[index];
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
