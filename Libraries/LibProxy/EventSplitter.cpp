#include <LibProxy/EventSplitter.h>

#include <algorithm>
#include <charconv>

namespace Stagepost {

namespace {

    // Returns the position after the blank line that ends the next event, or npos.
    size_t findEventEnd(std::string_view text, size_t from)
    {
        auto const lineFeeds = text.find("\n\n", from);
        auto const carriageReturns = text.find("\r\n\r\n", from);
        auto const lineFeedsEnd = lineFeeds == std::string_view::npos ? lineFeeds : lineFeeds + 2;
        auto const carriageReturnsEnd = carriageReturns == std::string_view::npos ? carriageReturns : carriageReturns + 4;
        return std::min(lineFeedsEnd, carriageReturnsEnd);
    }

    std::optional<uint64_t> parseEventId(std::string_view event)
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

    bool hasData(std::string_view event)
    {
        return event.starts_with("data") || event.find("\ndata") != std::string_view::npos;
    }

}

std::string EventSplitter::append(std::string_view bytes)
{
    // The blank line may have started in earlier bytes.
    constexpr size_t maxSeparatorSize = 4;
    auto searchFrom = m_incompleteEvent.size() < maxSeparatorSize ? 0 : m_incompleteEvent.size() - maxSeparatorSize;
    m_incompleteEvent += bytes;
    std::string newEvents;
    size_t begin = 0;
    for (auto end = findEventEnd(m_incompleteEvent, searchFrom); end != std::string::npos; end = findEventEnd(m_incompleteEvent, end)) {
        auto const event = std::string_view(m_incompleteEvent).substr(begin, end - begin);
        if (checkNew(event))
            newEvents += event;
        begin = end;
    }
    m_incompleteEvent.erase(0, begin);
    return newEvents;
}

bool EventSplitter::checkNew(std::string_view event)
{
    auto const id = parseEventId(event);
    if (id && m_progress.lastForwardedId && *id <= *m_progress.lastForwardedId)
        return false;
    if (id)
        m_progress.lastForwardedId = id;
    else if (hasData(event))
        m_progress.hasUnnumberedData = true;
    ++m_progress.eventCount;
    return true;
}

}
