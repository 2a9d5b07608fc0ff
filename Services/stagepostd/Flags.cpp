#include <stagepostd/Flags.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <cxxopts.hpp>

namespace Stagepost {

namespace {

    constexpr char const* version = "0.1.0";

    std::string environmentVariableFor(std::string_view flag)
    {
        std::string name = "STAGEPOST_";
        for (char const letter : flag)
            name += letter == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
        return name;
    }

    cxxopts::Options makeParser(std::string const& program, std::string const& about, std::vector<FlagDefinition> const& definitions)
    {
        cxxopts::Options options(program, about + " Each flag can also be set by an environment variable, --log-level by STAGEPOST_LOG_LEVEL.");
        for (auto const& definition : definitions) {
            std::string help = definition.help;
            if (*definition.defaultValue)
                help += std::string(" (default: ") + definition.defaultValue + ')';
            options.add_options()(definition.flag, help, cxxopts::value<std::string>());
        }
        options.add_options()("help", "print this and exit")("version", "print the version and exit");
        return options;
    }

    Error invalidValue(std::string const& flag, std::string const& value, std::string const& allowed)
    {
        return { ErrorCode::BadInput, "--" + flag + " = '" + value + "': allowed is " + allowed };
    }

    template <typename Number>
    bool parseWholeText(std::string const& text, Number& number)
    {
        auto const [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
        return code == std::errc() && end == text.data() + text.size();
    }

}

Result<Flags> Flags::parse(std::string const& program, std::string const& about, std::vector<FlagDefinition> const& definitions, int argc, char const* const* argv)
{
    auto parser = makeParser(program, about, definitions);
    try {
        auto const parsed = parser.parse(argc, argv);
        Flags flags;
        if (parsed.count("help"))
            flags.m_message = parser.help();
        else if (parsed.count("version"))
            flags.m_message = program + ' ' + version + '\n';
        if (!parsed.unmatched().empty())
            return Error(ErrorCode::BadInput, "unexpected argument '" + parsed.unmatched().front() + "'");
        for (auto const& definition : definitions) {
            if (parsed.count(definition.flag))
                flags.m_values[definition.flag] = parsed[definition.flag].as<std::string>();
            else if (auto const* value = std::getenv(environmentVariableFor(definition.flag).c_str()))
                flags.m_values[definition.flag] = value;
            else if (definition.isRequired)
                flags.m_missing[definition.flag] = { definition.help };
            else
                flags.m_values[definition.flag] = definition.defaultValue;
        }
        return flags;
    } catch (cxxopts::exceptions::exception const& failure) {
        return Error(ErrorCode::BadInput, failure.what());
    }
}

Result<std::string> Flags::text(std::string const& flag) const
{
    if (auto const missing = m_missing.find(flag); missing != m_missing.end())
        return Error(ErrorCode::BadInput, "--" + flag + " (or " + environmentVariableFor(flag) + ") is missing: " + missing->second.help);
    return m_values.at(flag);
}

Result<Endpoint> Flags::endpoint(std::string const& flag) const
{
    auto const value = Endpoint::parse(TRY(text(flag)));
    if (!value)
        return Error(ErrorCode::BadInput, "--" + flag + ": " + value.error().detail);
    return *value;
}

Result<uint64_t> Flags::number(std::string const& flag, uint64_t min, uint64_t max) const
{
    auto const value = TRY(text(flag));
    uint64_t number = 0;
    if (!parseWholeText(value, number) || number < min || number > max)
        return invalidValue(flag, value, "a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    return number;
}

Result<double> Flags::decimal(std::string const& flag, double min, double max) const
{
    auto const value = TRY(text(flag));
    double number = 0;
    if (!parseWholeText(value, number) || !(number >= min && number <= max))
        return invalidValue(flag, value, "a number from " + std::to_string(min) + " to " + std::to_string(max));
    return number;
}

Result<Milliseconds> Flags::duration(std::string const& flag, Milliseconds min, Milliseconds max) const
{
    auto const count = TRY(number(flag, static_cast<uint64_t>(min.count()), static_cast<uint64_t>(max.count())));
    return Milliseconds(count);
}

Result<std::string> Flags::secret(std::string const& flag, size_t minLength) const
{
    auto const value = TRY(text(flag));
    if (value.size() < minLength)
        return Error(ErrorCode::BadInput, "--" + flag + ": must have at least " + std::to_string(minLength) + " characters");
    return value;
}

Result<std::string> Flags::oneOf(std::string const& flag, std::vector<std::string> const& allowed) const
{
    auto const value = TRY(text(flag));
    if (std::find(allowed.begin(), allowed.end(), value) != allowed.end())
        return value;
    std::string list;
    for (auto const& entry : allowed)
        list += (list.empty() ? "" : ", ") + entry;
    return invalidValue(flag, value, "one of " + list);
}

}
