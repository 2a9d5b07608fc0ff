#pragma once

#include <LibBase/Result.h>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Stagepost {

// A numeric IP address and a port. Host names are not supported.
struct Endpoint {
    std::string address;
    uint16_t port { 0 };

    // Parses "127.0.0.1:8080" or "[::1]:8080". The BadInput error quotes the text.
    static Result<Endpoint> parse(std::string_view text);

    std::string toString() const;
    auto operator<=>(Endpoint const&) const = default;
};

}
