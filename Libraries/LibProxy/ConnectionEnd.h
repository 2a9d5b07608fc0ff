#pragma once

#include <cstdint>

namespace Stagepost {

// What became of the connection to an upstream after a forward.
enum class ConnectionEnd : uint8_t {
    // It was kept for further requests, or never came up.
    None,
    Closed,
    // It was closed with a reset, since the upstream had not acknowledged all of the request.
    Reset,
};

}
