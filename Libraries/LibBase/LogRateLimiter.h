#pragma once

#include <LibBase/Time.h>
#include <algorithm>
#include <cstdint>
#include <utility>

namespace Stagepost {

// Limits the rate of log lines of a process and counts the dropped lines.
class LogRateLimiter {
public:
    // Allows one line per request at 50 requests per second and as many other lines. The
    // daemons are designed for 15 requests per second.
    static constexpr double linesPerSecond = 100;
    // In lines. Covers a traffic peak or many state changes at once.
    static constexpr double burst = 1000;

    // The part of the burst, in lines, that request lines cannot use.
    static constexpr double reservedForEvents = 200;

    // Allows a line only if at least `reserve` more lines remain available after it.
    bool tryAcquire(Instant now, double reserve = 0)
    {
        m_available = std::min(burst, m_available + asSeconds(now - m_refilledAt) * linesPerSecond);
        m_refilledAt = now;
        if (m_available < 1 + reserve) {
            recordDrop();
            return false;
        }
        m_available -= 1;
        return true;
    }

    void recordDrop() { ++m_droppedCount; }
    bool hasDropped() const { return m_droppedCount != 0; }
    // Returns the number of lines dropped since the previous call.
    uint64_t takeDroppedCount() { return std::exchange(m_droppedCount, 0); }

private:
    double m_available { burst };
    Instant m_refilledAt;
    uint64_t m_droppedCount { 0 };
};

}
