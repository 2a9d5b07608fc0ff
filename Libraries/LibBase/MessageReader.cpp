#include <LibBase/MessageReader.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace Stagepost {

namespace {

    // In microseconds, about 35 years. No valid message contains a longer duration.
    constexpr uint64_t maxDuration = uint64_t { 1 } << 50;

    // Collects the elements of an array, and ends the reading at the first one that is itself an array or an object. No
    // message has any, and the library calls itself for each level of nesting: 0.2 MB of them overflowed the stack.
    class FlatArrayBuilder final : public nlohmann::json_sax<nlohmann::json> {
    public:
        explicit FlatArrayBuilder(nlohmann::json& elements)
            : m_elements(elements)
        {
        }

        bool null() override { return add(nullptr); }
        bool boolean(bool value) override { return add(value); }
        bool number_integer(int64_t value) override { return add(value); }
        bool number_unsigned(uint64_t value) override { return add(value); }
        bool number_float(double value, std::string const&) override { return add(value); }
        bool string(std::string& value) override { return add(std::move(value)); }
        bool binary(nlohmann::json::binary_t& value) override { return add(nlohmann::json::binary(std::move(value))); }
        bool start_object(size_t) override { return false; }
        bool key(std::string&) override { return false; }
        bool end_object() override { return false; }
        bool start_array(size_t) override { return !std::exchange(m_isOpen, true); }
        bool end_array() override { return true; }
        bool parse_error(size_t, std::string const&, nlohmann::detail::exception const&) override { return false; }

    private:
        bool add(nlohmann::json value)
        {
            if (m_isOpen)
                m_elements.push_back(std::move(value));
            return m_isOpen;
        }

        nlohmann::json& m_elements;
        bool m_isOpen { false };
    };

}

MessageReader::MessageReader(std::string_view bytes)
    : m_elements(std::make_unique<nlohmann::json>(nlohmann::json::array()))
{
    FlatArrayBuilder builder(*m_elements);
    m_failed = !nlohmann::json::sax_parse(bytes, &builder, nlohmann::json::input_format_t::msgpack);
    if (m_failed)
        m_elements->clear();
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
