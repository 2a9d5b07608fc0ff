#include <LibProxy/HttpMessage.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace Stagepost {

namespace {

    constexpr std::array<std::string_view, 8> hopByHopFieldNames {
        "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "proxy-authorization"
    };

    std::string_view trimmed(std::string_view text)
    {
        while (!text.empty() && text.front() == ' ')
            text.remove_prefix(1);
        while (!text.empty() && text.back() == ' ')
            text.remove_suffix(1);
        return text;
    }

    // The field names that a Connection field lists, which are hop-by-hop as well.
    std::vector<std::string> parseConnectionOptions(std::string_view list)
    {
        std::vector<std::string> names;
        while (!list.empty()) {
            auto const comma = std::min(list.find(','), list.size());
            names.emplace_back(trimmed(list.substr(0, comma)));
            list.remove_prefix(std::min(comma + 1, list.size()));
        }
        return names;
    }

}

bool equalsIgnoringCase(std::string_view first, std::string_view second)
{
    return std::equal(first.begin(), first.end(), second.begin(), second.end(), [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

void HttpFields::add(std::string_view name, std::string_view value)
{
    m_fields.push_back({ std::string(name), std::string(value) });
}

void HttpFields::set(std::string_view name, std::string_view value)
{
    remove(name);
    add(name, value);
}

void HttpFields::remove(std::string_view name)
{
    std::erase_if(m_fields, [&](auto const& field) { return equalsIgnoringCase(field.name, name); });
}

std::string_view HttpFields::find(std::string_view name) const
{
    for (auto const& field : m_fields) {
        if (equalsIgnoringCase(field.name, name))
            return field.value;
    }
    return {};
}

bool HttpFields::contains(std::string_view name) const
{
    return std::any_of(m_fields.begin(), m_fields.end(), [&](auto const& field) { return equalsIgnoringCase(field.name, name); });
}

void HttpFields::removeHopByHop()
{
    for (auto const& name : parseConnectionOptions(find("Connection")))
        remove(name);
    for (auto const name : hopByHopFieldNames)
        remove(name);
}

std::string_view HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string_view HttpRequest::queryParameter(std::string_view name) const
{
    auto const mark = target.find('?');
    if (mark == std::string::npos)
        return {};
    std::string_view rest = std::string_view(target).substr(mark + 1);
    while (!rest.empty()) {
        auto const pair = rest.substr(0, rest.find('&'));
        auto const equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name)
            return pair.substr(std::min(equals + 1, pair.size()));
        rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
    }
    return {};
}

HttpResponse makeJsonResponse(unsigned status, std::string body)
{
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

HttpResponse makeTextResponse(unsigned status, std::string body)
{
    return { status, { { "Content-Type", "text/plain; charset=utf-8" } }, std::move(body) };
}

}
