#include <LibBase/MessageReader.h>

#include <nlohmann/json.hpp>

namespace Stagepost {

namespace {

    // In microseconds, about 35 years. No valid message contains a longer duration.
    constexpr uint64_t maxDuration = uint64_t { 1 } << 50;

}

MessageReader::MessageReader(std::string_view bytes)
    : m_elements(std::make_unique<nlohmann::json>(nlohmann::json::from_msgpack(bytes, true, false)))
    , m_failed(!m_elements->is_array())
{
}

MessageReader::~MessageReader() = default;

nlohmann::json const* MessageReader::next()
{
    if (m_failed || m_position >= m_elements->size()) {
        m_failed = true;
        return nullptr;
    }
    return &(*m_elements)[m_position++];
}

uint64_t MessageReader::number()
{
    auto const* element = next();
    if (!element || !element->is_number_unsigned()) {
        m_failed = true;
        return 0;
    }
    return element->get<uint64_t>();
}

size_t MessageReader::count()
{
    auto const value = number();
    if (value > maxElements || value > m_elements->size()) {
        m_failed = true;
        return 0;
    }
    return value;
}

std::string MessageReader::text()
{
    auto const* element = next();
    if (!element || !element->is_binary()) {
        m_failed = true;
        return {};
    }
    auto const& bytes = element->get_binary();
    return { bytes.begin(), bytes.end() };
}

Microseconds MessageReader::duration()
{
    auto const value = number();
    if (value > maxDuration) {
        m_failed = true;
        return {};
    }
    return Microseconds(static_cast<int64_t>(value));
}

bool MessageReader::finished() const
{
    return !m_failed && m_position == m_elements->size();
}

}
