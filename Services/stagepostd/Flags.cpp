#include <stagepostd/Flags.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <cxxopts.hpp>

namespace Stagepost {

namespace {

    constexpr char const* version = "0.1.0";

    std::string variableOf(std::string_view flag)
    {
        std::string name = "STAGEPOST_";
        for (char const letter : flag)
            name += letter == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
        return name;
    }

    cxxopts::Options describe(std::string const& program, std::string const& about, std::vector<FlagRow> const& rows)
    {
        cxxopts::Options options(program, about + " Each flag can be given as an environment variable as well: --log-level is STAGEPOST_LOG_LEVEL.");
        for (auto const& row : rows) {
            std::string help = row.help;
            if (*row.fallback)
                help += std::string(" (default: ") + row.fallback + ')';
            options.add_options()(row.flag, help, cxxopts::value<std::string>());
        }
        options.add_options()("help", "print this and exit")("version", "print the version and exit");
        return options;
    }

    Error wrongValue(std::string const& flag, std::string const& value, std::string const& allowed)
    {
        return { ErrorCode::BadInput, "--" + flag + " = '" + value + "': allowed is " + allowed };
    }

    template <typename Number>
    bool readWhole(std::string const& text, Number& number)
    {
        auto const [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
        return code == std::errc() && end == text.data() + text.size();
    }

}

Result<Flags> Flags::parse(std::string const& program, std::string const& about, std::vector<FlagRow> const& rows, int argc, char const* const* argv)
{
    auto description = describe(program, about, rows);
    try {
        auto const parsed = description.parse(argc, argv);
        Flags flags;
        if (parsed.count("help"))
            flags.m_message = description.help();
        else if (parsed.count("version"))
            flags.m_message = program + ' ' + version + '\n';
        if (!parsed.unmatched().empty())
            return Error(ErrorCode::BadInput, "'" + parsed.unmatched().front() + "' is not a flag");
        for (auto const& row : rows) {
            if (parsed.count(row.flag))
                flags.m_values[row.flag] = parsed[row.flag].as<std::string>();
            else if (auto const* value = std::getenv(variableOf(row.flag).c_str()))
                flags.m_values[row.flag] = value;
            else if (row.isRequired)
                flags.m_missing[row.flag] = { row.help };
            else
                flags.m_values[row.flag] = row.fallback;
        }
        return flags;
    } catch (cxxopts::exceptions::exception const& failure) {
        return Error(ErrorCode::BadInput, failure.what());
    }
}

Result<std::string> Flags::text(std::string const& flag) const
{
    if (auto const missing = m_missing.find(flag); missing != m_missing.end())
        return Error(ErrorCode::BadInput, "--" + flag + " (or " + variableOf(flag) + ") is missing: " + missing->second.help);
    return m_values.at(flag);
}

Result<Endpoint> Flags::endpoint(std::string const& flag) const
{
    auto const value = Endpoint::parse(TRY(text(flag)));
    if (!value)
        return Error(ErrorCode::BadInput, "--" + flag + ": " + value.error().detail);
    return *value;
}

Result<uint64_t> Flags::number(std::string const& flag, uint64_t least, uint64_t most) const
{
    auto const value = TRY(text(flag));
    uint64_t number = 0;
    if (!readWhole(value, number) || number < least || number > most)
        return wrongValue(flag, value, "a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    return number;
}

Result<double> Flags::decimal(std::string const& flag, double least, double most) const
{
    auto const value = TRY(text(flag));
    double number = 0;
    if (!readWhole(value, number) || !(number >= least && number <= most))
        return wrongValue(flag, value, "a number from " + std::to_string(least) + " to " + std::to_string(most));
    return number;
}

Result<Milliseconds> Flags::duration(std::string const& flag, Milliseconds least, Milliseconds most) const
{
    auto const count = TRY(number(flag, static_cast<uint64_t>(least.count()), static_cast<uint64_t>(most.count())));
    return Milliseconds(count);
}

Result<std::string> Flags::secret(std::string const& flag, size_t leastSize) const
{
    auto const value = TRY(text(flag));
    if (value.size() < leastSize)
        return Error(ErrorCode::BadInput, "--" + flag + ": allowed are " + std::to_string(leastSize) + " characters or more");
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
    return wrongValue(flag, value, "one of " + list);
}

}
