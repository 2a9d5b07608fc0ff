#include <LibProxy/EventSplitter.h>

#include <algorithm>
#include <charconv>

namespace Stagepost {

namespace {

    // The position after the blank line that ends the first event, or npos.
    size_t endOfEvent(std::string_view text, size_t from)
    {
        auto const plain = text.find("\n\n", from);
        auto const withReturns = text.find("\r\n\r\n", from);
        auto const plainEnd = plain == std::string_view::npos ? plain : plain + 2;
        auto const withReturnsEnd = withReturns == std::string_view::npos ? withReturns : withReturns + 4;
        return std::min(plainEnd, withReturnsEnd);
    }

    std::optional<uint64_t> idOf(std::string_view event)
    {
        while (!event.empty()) {
            auto const line = event.substr(0, event.find('\n'));
            event.remove_prefix(std::min(line.size() + 1, event.size()));
            if (!line.starts_with("id:"))
                continue;
            auto digits = line.substr(3);
            while (digits.starts_with(' '))
                digits.remove_prefix(1);
            uint64_t id = 0;
            auto const [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), id);
            return failure == std::errc() ? std::optional(id) : std::nullopt;
        }
        return {};
    }

}

std::string EventSplitter::take(std::string_view bytes)
{
    // The blank line may have begun in the bytes that came before.
    constexpr size_t longestSeparator = 4;
    auto searchFrom = m_rest.size() < longestSeparator ? 0 : m_rest.size() - longestSeparator;
    m_rest += bytes;
    std::string whole;
    size_t begin = 0;
    for (auto end = endOfEvent(m_rest, searchFrom); end != std::string::npos; end = endOfEvent(m_rest, end)) {
        auto const event = std::string_view(m_rest).substr(begin, end - begin);
        if (isNew(event))
            whole += event;
        begin = end;
    }
    m_rest.erase(0, begin);
    return whole;
}

bool EventSplitter::isNew(std::string_view event)
{
    auto const id = idOf(event);
    if (id && m_progress.lastId && *id <= *m_progress.lastId)
        return false;
    if (id)
        m_progress.lastId = id;
    ++m_progress.events;
    return true;
}

}
