#pragma once

#include <LibBase/Ids.h>
#include <array>
#include <initializer_list>
#include <string_view>

namespace Stagepost {

// The parts of a request that its fingerprint covers. The id of the attempt and the
// connection are not among them, so every attempt of a request has the same fingerprint.
struct FingerprintInput {
    // Empty on a public route, where equal requests of different callers share a fingerprint.
    std::string_view organisation;
    std::string_view method;
    std::string_view host;
    std::string_view target;
    std::string_view body;
};

// Computes request fingerprints with a key that is shared by the fleet. All daemons get the
// same fingerprints without exchanging the contents of requests, and a caller cannot
// construct a request that collides with one of another organisation.
class FingerprintKey {
public:
    // The key may have any length.
    explicit FingerprintKey(std::string_view key);

    // Returns a keyed BLAKE2b hash over all fields. The body enters it as a seeded XXH3 hash,
    // since BLAKE2b takes 128 us for a body of 64 KB.
    Fingerprint fingerprintOf(FingerprintInput const&) const;
    // Returns a keyed hash of a part of the prompts that a service gets.
    Fingerprint partFingerprintOf(std::string_view service, uint64_t partIdHash) const;

private:
    uint64_t keyedHashOf(std::initializer_list<std::string_view>) const;

    std::array<unsigned char, 32> m_key {};
    uint64_t m_bodySeed { 0 };
};

}
