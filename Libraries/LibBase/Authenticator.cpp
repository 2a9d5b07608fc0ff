#include <LibBase/Authenticator.h>

#include <array>
#include <cstring>
#include <sodium.h>

namespace Stagepost {

namespace {

    // One bit of ReplayWindow::seenBits per sequence number.
    constexpr uint64_t replayWindowSize = 64;

    // The sender's id and the sequence number. They are sent in host byte order,
    // since all daemons run on the same kind of machine.
    using MessageHeader = std::array<uint64_t, 2>;

}

Authenticator::Authenticator(std::string_view key, VMId self, Incarnation incarnation)
    : m_self(self)
    , m_sequence(incarnation.value())
{
    crypto_generichash(m_key.data(), m_key.size(), reinterpret_cast<unsigned char const*>(key.data()), key.size(), nullptr, 0);
}

std::string Authenticator::computeTag(std::string_view text) const
{
    std::array<unsigned char, crypto_generichash_BYTES_MIN> digest {};
    crypto_generichash(digest.data(), digest.size(),
        reinterpret_cast<unsigned char const*>(text.data()), text.size(), m_key.data(), m_key.size());
    return { digest.begin(), digest.begin() + tagSize };
}

bool Authenticator::verifyTag(std::string_view text, std::string_view tag) const
{
    return tag.size() == tagSize && sodium_memcmp(computeTag(text).data(), tag.data(), tagSize) == 0;
}

std::string Authenticator::signMessage(std::string_view body)
{
    MessageHeader const header { m_self.value(), ++m_sequence };
    std::string message(sizeof(header), '\0');
    std::memcpy(message.data(), header.data(), sizeof(header));
    message += body;
    message += computeTag(message);
    return message;
}

Result<Authenticator::VerifiedMessage> Authenticator::verifyMessage(std::string_view message)
{
    MessageHeader header {};
    if (message.size() < sizeof(header) + tagSize)
        return Error(ErrorCode::Malformed, "the message is shorter than its header and tag");
    if (!isAuthentic(message))
        return Error(ErrorCode::NotAuthenticated, "the authentication tag does not match");
    auto const signedPart = message.substr(0, message.size() - tagSize);
    std::memcpy(header.data(), signedPart.data(), sizeof(header));
    VerifiedMessage verified { VMId(header[0]), std::string(signedPart.substr(sizeof(header))) };
    if (!acceptSequence(m_windows[verified.sender], header[1]))
        return Error(ErrorCode::Replayed, "the sequence number was already received or is too old");
    return verified;
}

bool Authenticator::isAuthentic(std::string_view message) const
{
    if (message.size() < sizeof(MessageHeader) + tagSize)
        return false;
    auto const signedPart = message.substr(0, message.size() - tagSize);
    return verifyTag(signedPart, message.substr(signedPart.size()));
}

bool Authenticator::acceptSequence(ReplayWindow& window, uint64_t sequence)
{
    if (sequence > window.newest) {
        auto const shift = sequence - window.newest;
        window.seenBits = shift >= replayWindowSize ? 0 : window.seenBits << shift;
        window.seenBits |= 1;
        window.newest = sequence;
        return true;
    }
    auto const age = window.newest - sequence;
    if (age >= replayWindowSize)
        return false;
    auto const bit = uint64_t { 1 } << age;
    if (window.seenBits & bit)
        return false;
    window.seenBits |= bit;
    return true;
}

}
