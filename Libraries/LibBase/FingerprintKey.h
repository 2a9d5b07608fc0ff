#pragma once

#include <LibBase/Ids.h>
#include <array>
#include <string_view>

namespace Stagepost {

// What a request is told by, if the id of one attempt and the connection that it came on are
// left aside.
struct RequestTraits {
    // Empty where the route is public: then the same request of anybody is the same.
    std::string_view organisation;
    std::string_view method;
    std::string_view host;
    std::string_view target;
    std::string_view body;
};

// Gives requests their fingerprints. The key is the fleet's, so that daemons agree on them
// without telling one another what callers have sent, and so that no caller can make a
// request that has the fingerprint of another organisation's.
class FingerprintKey {
public:
    // The key may be of any length.
    explicit FingerprintKey(std::string_view key);

    // A keyed BLAKE2b over all traits, for which the body stands as a seeded hash: BLAKE2b alone takes
    // 128 us for a body of 64 KB.
    RequestFingerprint fingerprintOf(RequestTraits const&) const;

private:
    std::array<unsigned char, 32> m_key {};
    uint64_t m_bodySeed { 0 };
};

}
