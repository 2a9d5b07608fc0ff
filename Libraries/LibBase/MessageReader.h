#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace Stagepost {

// Decodes a message that MessageWriter encoded. A missing element or one of the wrong
// type puts the reader into a permanent failed state, so a decoder needs to check only
// once, at its end. Reads in the failed state return zero or an empty string.
class MessageReader {
public:
    // The limit of count(). No message between daemons has as many elements.
    static constexpr size_t maxElements = 8192;

    explicit MessageReader(std::string_view bytes);
    ~MessageReader();
    MessageReader(MessageReader const&) = delete;
    MessageReader& operator=(MessageReader const&) = delete;

    uint64_t number();
    // Reads the count of the elements that follow. Fails if it exceeds maxElements or the
    // number of elements in the message.
    size_t count();
    std::string text();
    Microseconds duration();
    template <typename Id>
    Id id() { return Id(number()); }

    // Puts the reader into the failed state. For decoders that find a value outside its range.
    void fail() { m_failed = true; }
    bool failed() const { return m_failed; }
    // Returns whether all reads succeeded and no element is left.
    bool finished() const;

private:
    nlohmann::json const* next();

    std::unique_ptr<nlohmann::json> m_elements;
    size_t m_position { 0 };
    bool m_failed { false };
};

}
