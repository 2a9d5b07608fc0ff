#include <stagepostd/StateRequest.h>

#include <charconv>

namespace Stagepost {

namespace {

    // Followed by the settings version and the upstreams hash of the requesting daemon.
    constexpr std::string_view prefix = "state ";

}

std::string formatStateRequest(StateSummary const& known)
{
    return std::string(prefix) + std::to_string(known.settingsVersion) + ' ' + std::to_string(known.upstreamsHash);
}

std::optional<StateSummary> parseStateRequest(std::string_view text)
{
    if (!text.starts_with(prefix))
        return {};
    text.remove_prefix(prefix.size());
    StateSummary known;
    auto const* const end = text.data() + text.size();
    auto const settings = std::from_chars(text.data(), end, known.settingsVersion);
    if (settings.ptr != end)
        std::from_chars(settings.ptr + 1, end, known.upstreamsHash);
    return known;
}

}
