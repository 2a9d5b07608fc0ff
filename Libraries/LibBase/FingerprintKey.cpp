#include <LibBase/FingerprintKey.h>

#include <LibBase/Hash.h>
#include <cstring>
#include <sodium.h>

namespace Stagepost {

namespace {

    // Hashes the text with its length in front, so that different lists of texts never
    // produce the same byte sequence.
    void hashWithLength(crypto_generichash_state& state, std::string_view text)
    {
        uint64_t const size = text.size();
        crypto_generichash_update(&state, reinterpret_cast<unsigned char const*>(&size), sizeof(size));
        crypto_generichash_update(&state, reinterpret_cast<unsigned char const*>(text.data()), text.size());
    }

}

FingerprintKey::FingerprintKey(std::string_view key)
{
    constexpr std::string_view purpose = "request-fingerprint";
    std::array<unsigned char, sizeof(m_key) + sizeof(m_bodySeed)> derived {};
    crypto_generichash(derived.data(), derived.size(), reinterpret_cast<unsigned char const*>(key.data()), key.size(),
        reinterpret_cast<unsigned char const*>(purpose.data()), purpose.size());
    std::memcpy(m_key.data(), derived.data(), m_key.size());
    std::memcpy(&m_bodySeed, derived.data() + m_key.size(), sizeof(m_bodySeed));
}

RequestFingerprint FingerprintKey::fingerprintOf(FingerprintInput const& input) const
{
    crypto_generichash_state state;
    crypto_generichash_init(&state, m_key.data(), m_key.size(), crypto_generichash_BYTES_MIN);
    auto const body = hashOf(input.body, m_bodySeed);
    for (auto const text : { input.organisation, input.method, input.host, input.target })
        hashWithLength(state, text);
    hashWithLength(state, { reinterpret_cast<char const*>(&body), sizeof(body) });
    std::array<unsigned char, crypto_generichash_BYTES_MIN> digest {};
    crypto_generichash_final(&state, digest.data(), digest.size());
    uint64_t value = 0;
    std::memcpy(&value, digest.data(), sizeof(value));
    return RequestFingerprint(value);
}

}
