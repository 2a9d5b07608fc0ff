#include <LibBase/Metrics.h>

#include <boost/histogram.hpp>
#include <sstream>

namespace Stagepost {

namespace {

    namespace Histogram = boost::histogram;
    using LogAxis = Histogram::axis::regular<double, Histogram::axis::transform::log>;

    constexpr unsigned binCount = 28;
    constexpr double minSeconds = 1e-5;
    constexpr double maxSeconds = 100;

    std::string keyOf(std::string_view name, std::string_view label)
    {
        std::string key(name);
        if (!label.empty()) {
            key += '{';
            key += label;
            key += '}';
        }
        return key;
    }

    std::string reasonLabel(std::string_view reason)
    {
        return "reason=\"" + std::string(reason) + '"';
    }

}

struct Metrics::LatencyHistogram {
    decltype(Histogram::make_histogram(std::declval<LogAxis>())) histogram { Histogram::make_histogram(LogAxis(binCount, minSeconds, maxSeconds)) };
    double sum { 0 };
    uint64_t count { 0 };
};

// Creates the counters of all refusal reasons, so that a collector sees 0 instead of a missing series.
Metrics::Metrics()
{
    for (size_t index = 0; index < static_cast<size_t>(RefusalReason::Count); ++index)
        count("stagepost_refusals_total", reasonLabel(nameOf(static_cast<RefusalReason>(index))), 0);
}

Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, std::string_view label, uint64_t amount)
{
    m_counters[keyOf(name, label)] += amount;
}

void Metrics::countRefusal(Refusal const& refusal)
{
    count("stagepost_refusals_total", reasonLabel(nameOf(refusal.reason)));
    count("stagepost_verdicts_total", "verdict=\"" + std::string(nameOf(refusal.verdict)) + '"');
    if (auto const proof = refusal.verdict.proof())
        count("stagepost_not_run_total", "proof=\"" + std::string(proof->name()) + '"');
}

void Metrics::countRetry(std::string_view reason)
{
    count("stagepost_retries_total", reasonLabel(reason));
}

void Metrics::setGauge(std::string_view name, double value)
{
    m_gauges[std::string(name)] = value;
}

void Metrics::observe(std::string_view name, Microseconds duration)
{
    auto found = m_histograms.find(name);
    if (found == m_histograms.end())
        found = m_histograms.emplace(std::string(name), std::make_unique<LatencyHistogram>()).first;
    auto& entry = *found->second;
    entry.histogram(asSeconds(duration));
    entry.sum += asSeconds(duration);
    ++entry.count;
}

uint64_t Metrics::counter(std::string_view name, std::string_view label) const
{
    auto const found = m_counters.find(keyOf(name, label));
    return found == m_counters.end() ? 0 : found->second;
}

std::string Metrics::render() const
{
    std::ostringstream text;
    for (auto const& [key, value] : m_counters)
        text << key << ' ' << value << '\n';
    for (auto const& [key, value] : m_gauges)
        text << key << ' ' << value << '\n';
    for (auto const& [name, entry] : m_histograms) {
        double cumulative = entry->histogram.at(-1);
        for (auto&& bin : Histogram::indexed(entry->histogram)) {
            cumulative += *bin;
            text << name << "_bucket{le=\"" << bin.bin().upper() << "\"} " << cumulative << '\n';
        }
        text << name << "_bucket{le=\"+Inf\"} " << entry->count << '\n';
        text << name << "_sum " << entry->sum << '\n';
        text << name << "_count " << entry->count << '\n';
    }
    return text.str();
}

}
