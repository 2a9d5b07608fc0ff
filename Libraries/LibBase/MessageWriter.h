#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace Stagepost {

// Encodes the body of a message between daemons as a MessagePack array. MessageReader must
// read the elements in the same order.
class MessageWriter {
public:
    MessageWriter();
    ~MessageWriter();
    MessageWriter(MessageWriter const&) = delete;
    MessageWriter& operator=(MessageWriter const&) = delete;

    void number(uint64_t);
    void text(std::string_view);
    // Written in microseconds. A negative duration is written as 0.
    void duration(Microseconds);
    template <typename Tag>
    void id(Id<Tag> value) { number(value.value()); }

    // Returns the encoded message and clears the writer.
    std::string release();

private:
    std::unique_ptr<nlohmann::json> m_elements;
};

}
