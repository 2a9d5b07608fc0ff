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

    std::string_view bytesOf(uint64_t const& value)
    {
        return { reinterpret_cast<char const*>(&value), sizeof(value) };
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

uint64_t FingerprintKey::keyedHashOf(std::initializer_list<std::string_view> texts) const
{
    crypto_generichash_state state;
    crypto_generichash_init(&state, m_key.data(), m_key.size(), crypto_generichash_BYTES_MIN);
    for (auto const text : texts)
        hashWithLength(state, text);
    std::array<unsigned char, crypto_generichash_BYTES_MIN> digest {};
    crypto_generichash_final(&state, digest.data(), digest.size());
    uint64_t value = 0;
    std::memcpy(&value, digest.data(), sizeof(value));
    return value;
}

Fingerprint FingerprintKey::fingerprintOf(FingerprintInput const& input) const
{
    auto const body = hashOf(input.body, m_bodySeed);
    return Fingerprint(keyedHashOf({ input.organisation, input.method, input.host, input.target, bytesOf(body) }));
}

// The number of texts differs from that of a request, so that the two never hash the same bytes.
Fingerprint FingerprintKey::partFingerprintOf(std::string_view service, uint64_t partIdHash) const
{
    return Fingerprint(keyedHashOf({ service, bytesOf(partIdHash) }));
}

}
