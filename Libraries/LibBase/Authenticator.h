#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Result.h>
#include <array>
#include <map>
#include <string>
#include <string_view>

namespace Stagepost {

// Signs the messages that daemons send to each other and verifies those that they
// receive. Messages are authenticated, not encrypted: each carries the sender's id,
// a sequence number and a keyed BLAKE2b tag over the whole message. Sequence numbers
// start at the sender's incarnation, which is its start time in microseconds. After a
// restart they are therefore higher than before, as long as the sender stays below a
// million messages a second.
class Authenticator {
public:
    // In bytes. A random tag is accepted with a probability of 2^-64.
    static constexpr size_t tagSize = 8;
    // The bytes that signMessage() adds to a body.
    static constexpr size_t overhead = 2 * sizeof(uint64_t) + tagSize;

    // The key may have any length; validation of the settings rejects an empty one.
    Authenticator(std::string_view key, VMId self, Incarnation incarnation);

    std::string signMessage(std::string_view body);

    struct VerifiedMessage {
        VMId sender;
        std::string body;
    };

    // Errors: Malformed, NotAuthenticated, or Replayed for a sequence number that was
    // received before or is 64 or more below the highest one.
    Result<VerifiedMessage> verifyMessage(std::string_view message);

    // Whether its tag matches, whatever its sequence number is.
    bool isAuthentic(std::string_view message) const;

    // Returns only the tag, for texts that already identify themselves, such as tickets.
    std::string computeTag(std::string_view text) const;

    // Compares a tag in constant time.
    bool verifyTag(std::string_view text, std::string_view tag) const;

private:
    // The sequence numbers received from one sender. Bit N of seenBits stands for newest - N.
    struct ReplayWindow {
        uint64_t newest { 0 };
        uint64_t seenBits { 0 };
    };
    static bool acceptSequence(ReplayWindow&, uint64_t sequence);

    std::array<unsigned char, 32> m_key {};
    VMId m_self;
    uint64_t m_sequence { 0 };
    std::map<VMId, ReplayWindow> m_windows;
};

}
