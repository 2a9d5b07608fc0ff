#include <stagepostd/JsonValueCounter.h>

#include <nlohmann/json.hpp>

namespace Stagepost {

namespace {

    using Json = nlohmann::json;

    // The names of the functions are the library's.
    // NOLINTBEGIN(readability-identifier-naming)
    class ValueCounter final : public nlohmann::json_sax<Json> {
    public:
        explicit ValueCounter(size_t maxValues)
            : m_valuesLeft(maxValues)
        {
        }

        bool null() override { return count(); }
        bool boolean(bool /*value*/) override { return count(); }
        bool number_integer(Json::number_integer_t /*value*/) override { return count(); }
        bool number_unsigned(Json::number_unsigned_t /*value*/) override { return count(); }
        bool number_float(Json::number_float_t /*value*/, std::string const& /*text*/) override { return count(); }
        bool string(std::string& /*value*/) override { return count(); }
        bool binary(Json::binary_t& /*value*/) override { return count(); }
        bool start_object(size_t /*size*/) override { return count(); }
        bool key(std::string& /*name*/) override { return true; }
        bool end_object() override { return true; }
        bool start_array(size_t /*size*/) override { return count(); }
        bool end_array() override { return true; }
        bool parse_error(size_t /*position*/, std::string const& /*token*/, nlohmann::detail::exception const& /*error*/) override { return false; }

    private:
        bool count()
        {
            if (!m_valuesLeft)
                return false;
            --m_valuesLeft;
            return true;
        }

        size_t m_valuesLeft;
    };
    // NOLINTEND(readability-identifier-naming)

}

bool hasAtMostJsonValues(std::string_view text, size_t maxValues)
{
    // Each value but the first has a comma, a colon or a bracket before it.
    if (text.size() <= maxValues)
        return true;
    ValueCounter counter(maxValues);
    return Json::sax_parse(text, &counter);
}

}
