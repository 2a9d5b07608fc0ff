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
        constexpr std::string_view blanks = " \t";
        auto const begin = std::min(text.find_first_not_of(blanks), text.size());
        text.remove_prefix(begin);
        return text.substr(0, text.find_last_not_of(blanks) + 1);
    }

    void appendListed(std::vector<std::string>& names, std::string_view list)
    {
        while (!list.empty()) {
            auto const comma = std::min(list.find(','), list.size());
            names.emplace_back(trimmed(list.substr(0, comma)));
            list.remove_prefix(std::min(comma + 1, list.size()));
        }
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

std::vector<std::string> HttpFields::connectionOptions() const
{
    std::vector<std::string> names;
    for (auto const& field : m_fields) {
        if (equalsIgnoringCase(field.name, "Connection") || equalsIgnoringCase(field.name, "Proxy-Connection"))
            appendListed(names, field.value);
    }
    return names;
}

bool HttpFields::isNamedByConnection(std::string_view name) const
{
    auto const names = connectionOptions();
    return std::any_of(names.begin(), names.end(), [name](auto const& each) { return equalsIgnoringCase(each, name); });
}

void HttpFields::removeHopByHop(std::span<std::string_view const> endToEnd)
{
    for (auto const& name : connectionOptions()) {
        bool const isEndToEnd = std::any_of(endToEnd.begin(), endToEnd.end(), [&](auto each) { return equalsIgnoringCase(each, name); });
        if (!isEndToEnd)
            remove(name);
    }
    removeFixedHopByHop();
}

void HttpFields::removeFixedHopByHop()
{
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
