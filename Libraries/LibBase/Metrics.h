#pragma once

#include <LibBase/RefusalReason.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Stagepost {

// The counters, gauges and latency histograms of one daemon, rendered in the Prometheus
// text format. Not thread-safe: only the daemon's single thread uses it.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(Metrics const&) = delete;
    Metrics& operator=(Metrics const&) = delete;

    // Increments a counter. The label, for example `reason="queue-full"`, may be empty.
    void count(std::string_view name, std::string_view label = {}, uint64_t amount = 1);

    void countRefusal(Refusal const&);
    void countRetry(std::string_view reason);

    void setGauge(std::string_view name, double value);

    // Adds a duration to a latency histogram with logarithmic buckets from 10 us to 100 s.
    void observe(std::string_view name, Microseconds);

    // Returns 0 for a counter that was never incremented.
    uint64_t counter(std::string_view name, std::string_view label = {}) const;

    // Formats all metrics, one sample per line.
    std::string render() const;

private:
    struct LatencyHistogram;
    std::map<std::string, uint64_t> m_counters;
    std::map<std::string, double> m_gauges;
    std::map<std::string, std::unique_ptr<LatencyHistogram>, std::less<>> m_histograms;
};

}
