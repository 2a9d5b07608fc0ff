#include <LibBase/MessageWriter.h>

#include <nlohmann/json.hpp>

namespace Stagepost {

MessageWriter::MessageWriter()
    : m_elements(std::make_unique<nlohmann::json>(nlohmann::json::array()))
{
}

MessageWriter::~MessageWriter() = default;

void MessageWriter::number(uint64_t value)
{
    m_elements->push_back(value);
}

void MessageWriter::text(std::string_view value)
{
    m_elements->push_back(nlohmann::json::binary({ value.begin(), value.end() }));
}

void MessageWriter::duration(Microseconds value)
{
    number(value.count() < 0 ? 0 : static_cast<uint64_t>(value.count()));
}

std::string MessageWriter::release()
{
    std::string bytes;
    nlohmann::json::to_msgpack(*m_elements, nlohmann::detail::output_adapter<char>(bytes));
    *m_elements = nlohmann::json::array();
    return bytes;
}

}
