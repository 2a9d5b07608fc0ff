#pragma once

#include <cstddef>

namespace Stagepost {

// Decides which interim responses (RFC 9110, section 15.2) of one request are skipped. Upstreams may send them unasked,
// and a final response follows. Their number and size are bounded, since an upstream could send them without end.
class InterimResponses {
public:
    static constexpr size_t maxCount = 8;
    static constexpr size_t maxBytes = 16u << 10;

    static bool isInterim(unsigned status) { return status >= 100 && status < 200; }

    // Takes the status of a header and its size. False for final responses, and for a switch of protocols, which no
    // request asks for.
    bool shouldSkip(unsigned status, size_t headerSize)
    {
        constexpr unsigned switchingProtocols = 101;
        if (!isInterim(status) || status == switchingProtocols)
            return false;
        m_bytes += headerSize;
        return ++m_count <= maxCount && m_bytes <= maxBytes;
    }

private:
    size_t m_count { 0 };
    size_t m_bytes { 0 };
};

}
