#pragma once

#include <LibBase/Time.h>
#include <algorithm>
#include <cstdint>
#include <utility>

namespace Stagepost {

// Bounds how many lines a second a process writes, and counts those left out.
class LogBudget {
public:
    // A line a request at fifty requests a second, with as much again for what
    // else happens; a daemon of the size aimed at serves fifteen.
    static constexpr double linesPerSecond = 100;
    // What a surge or a change of many beliefs at once may write in one go.
    static constexpr double burst = 1000;

    // Of the burst, what lines of single requests leave to those of decisions and beliefs.
    static constexpr double keptFromRequests = 200;

    // A line is allowed while that many more are left after it.
    bool allows(Instant now, double kept = 0)
    {
        m_lines = std::min(burst, m_lines + asSeconds(now - m_countedAt) * linesPerSecond);
        m_countedAt = now;
        if (m_lines < 1 + kept) {
            leaveOut();
            return false;
        }
        m_lines -= 1;
        return true;
    }

    void leaveOut() { ++m_leftOut; }
    bool hasLeftOut() const { return m_leftOut != 0; }
    // The lines left out since the last call.
    uint64_t takeLeftOut() { return std::exchange(m_leftOut, 0); }

private:
    double m_lines { burst };
    Instant m_countedAt;
    uint64_t m_leftOut { 0 };
};

}
