#include <LibSettings/Schema.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Stagepost {

namespace {

    constexpr unsigned inUpstreamGroups = InFleet | InPools | InServices;
    constexpr double maxCount = 1e6;
    constexpr double dayInSeconds = 86400;
    constexpr double hourInMilliseconds = 3600e3;

    std::vector<SettingRule> makeRules()
    {
        return {
            { "token_hashes", InOrganisations, TextList {}, 0, 0, {}, "The hashes of the bearer tokens of this organisation, as `stagepostctl hash-token` prints them. Tokens themselves never stand in the tree." },
            { "weight", InOrganisations, 1.0, 0.01, 1000, {}, "The organisation's share of a contended upstream against the others." },
            { "requests_per_second", InOrganisations, 1000.0, 0, maxCount, {}, "The most requests a second over the whole fleet, with bursts of two seconds' worth." },
            { "in_flight", InOrganisations, int64_t { 10000 }, 0, maxCount, {}, "The most requests in flight over the whole fleet." },
            { "urgent", InOrganisations, true, 0, 0, {}, "Whether calls of this organisation may be urgent; otherwise their priority is lowered to bulk." },
            { "models", InPools, TextList {}, 0, 0, {}, "The models that the pool's engines serve." },
            { "load_multiple", inUpstreamGroups, 1.25, 1.01, 100, {}, "No upstream carries more than this multiple of the mean load." },
            { "admission_margin", inUpstreamGroups, 0.05, 0, 0.5, {}, "How far below the multiple admission stops, so that a falling mean does not carry an upstream over it. A larger margin favours an even load, a smaller one cache reuse." },
            { "new_chat_reserve", inUpstreamGroups, 0.5, 0, 100, {}, "The places below the cap that are kept for chats whose context is there, in square roots of the mean load. More of them favour cache reuse and cost messages." },
            { "recompute_us_per_token", inUpstreamGroups, int64_t { 200 }, 0, maxCount, {}, "What computing one token of lost context anew costs. A bulk request waits at the upstream that holds its context for as long as that, but a second at the most." },
            { "least_cap", inUpstreamGroups, int64_t { 8 }, 1, maxCount, {}, "An upstream is always admitted this many requests, however small the mean is; the load multiple holds from a mean of this size on." },
            { "most_in_flight", inUpstreamGroups, int64_t { 256 }, 1, maxCount, {}, "The most requests that one upstream is ever given at once." },
            { "candidates", inUpstreamGroups, int64_t { 6 }, 1, 64, {}, "How many upstreams of its rendezvous order a request tries before it waits." },
            { "queue_length", inUpstreamGroups, int64_t { 512 }, 0, maxCount, {}, "The most requests that wait for one upstream." },
            { "bulk_share", inUpstreamGroups, 0.1, 0.01, 1, {}, "The least share of places that goes to waiting bulk work while urgent work waits too." },
            { "queue_wait_ms", inUpstreamGroups, int64_t { 30000 }, 0, hourInMilliseconds, {}, "The longest wait for a place when the caller gives no deadline." },
            { "answer_timeout_ms", inUpstreamGroups, int64_t { 60000 }, 1, hourInMilliseconds, {}, "How long an upstream may take for the first byte of its answer." },
            { "idle_timeout_ms", inUpstreamGroups, int64_t { 60000 }, 1, hourInMilliseconds, {}, "How long an answer may stand still, at either end." },
            { "retry_share", inUpstreamGroups, 0.1, 0, 1, {}, "Retries are limited to this share of first tries." },
            { "most_tries", inUpstreamGroups, int64_t { 3 }, 1, 10, {}, "The most upstreams that one request is sent to." },
            { "breaker_failures", inUpstreamGroups, int64_t { 5 }, 1, maxCount, {}, "An upstream that fails this often in a row gets no work for a while." },
            { "breaker_pause_ms", inUpstreamGroups, int64_t { 1000 }, 1, hourInMilliseconds, {}, "The first such pause; each further one is twice as long, up to thirty times this." },
            { "return_seconds", inUpstreamGroups, 10.0, 0, 3600, {}, "How long an upstream that comes back, or a hall, takes to grow to its full share." },
            { "fences", inUpstreamGroups, std::string("unchecked"), 0, 0, { "checked", "unchecked" }, "Whether these upstreams check the fence that goes with a call that may not be repeated." },
            { "ticket_window", InFleet, int64_t { 4096 }, 16, maxCount, {}, "How many tickets one daemon has handed out and still remembers." },
            { "claim_window_s", InFleet, int64_t { 3600 }, 1, dayInSeconds, {}, "How long an idempotency key is good for; shorter than the log's retention." },
            { "log_retention_s", InFleet, int64_t { 86400 }, 2, 30 * dayInSeconds, {}, "How long the platform's log keeps a record." },
            { "log_appends_per_second", InFleet, 200.0, 1, maxCount, {}, "The appends that the whole fleet may make, shared evenly by its daemons." },
            { "once_memory_bytes", InFleet, int64_t { 16 << 20 }, 65536, 1 << 30, {}, "The memory that one daemon spends on tickets, claims and recorded answers." },
            { "answer_keep_bytes", InFleet, int64_t { 16384 }, 0, 1 << 24, {}, "The largest answer of a call that may not be repeated that is kept for a resend." },
        };
    }

    std::string formatNumber(double value)
    {
        std::array<char, 32> text {};
        auto const [end, code] = std::to_chars(text.data(), text.data() + text.size(), value);
        return { text.data(), end };
    }

    size_t editDistance(std::string_view first, std::string_view second)
    {
        std::vector<size_t> row(second.size() + 1);
        for (size_t column = 0; column < row.size(); ++column)
            row[column] = column;
        for (size_t line = 1; line <= first.size(); ++line) {
            auto diagonal = row[0];
            row[0] = line;
            for (size_t column = 1; column < row.size(); ++column) {
                auto const replaced = diagonal + (first[line - 1] == second[column - 1] ? 0 : 1);
                diagonal = row[column];
                row[column] = std::min({ row[column] + 1, row[column - 1] + 1, replaced });
            }
        }
        return row.back();
    }

    std::string joinQuoted(TextList const& texts)
    {
        std::string result;
        for (auto const& text : texts) {
            if (!result.empty())
                result += ", ";
            result += '"' + text + '"';
        }
        return result;
    }

}

std::span<SettingRule const> settingRules()
{
    static auto const rules = makeRules();
    return rules;
}

SettingRule const* findSettingRule(std::string_view key)
{
    for (auto const& rule : settingRules()) {
        if (rule.key == key)
            return &rule;
    }
    return nullptr;
}

std::string_view closestSettingKey(std::string_view key)
{
    auto const rules = settingRules();
    auto const nearest = std::min_element(rules.begin(), rules.end(), [&](auto const& a, auto const& b) {
        return editDistance(a.key, key) < editDistance(b.key, key);
    });
    return nearest->key;
}

std::string describeAllowedValues(SettingRule const& rule)
{
    if (std::holds_alternative<bool>(rule.defaultValue))
        return "true or false";
    if (std::holds_alternative<int64_t>(rule.defaultValue))
        return "a whole number from " + formatNumber(rule.minimum) + " to " + formatNumber(rule.maximum);
    if (std::holds_alternative<double>(rule.defaultValue))
        return "a number from " + formatNumber(rule.minimum) + " to " + formatNumber(rule.maximum);
    if (std::holds_alternative<TextList>(rule.defaultValue))
        return "a list of texts";
    return rule.allowed.empty() ? "a text" : "one of " + joinQuoted(rule.allowed);
}

std::string formatSettingValue(SettingValue const& value)
{
    if (auto const* flag = std::get_if<bool>(&value))
        return *flag ? "true" : "false";
    if (auto const* whole = std::get_if<int64_t>(&value))
        return std::to_string(*whole);
    if (auto const* number = std::get_if<double>(&value))
        return formatNumber(*number);
    if (auto const* text = std::get_if<std::string>(&value))
        return '"' + *text + '"';
    return '[' + joinQuoted(std::get<TextList>(value)) + ']';
}

}
