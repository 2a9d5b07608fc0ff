#pragma once

#include <functional>
#include <string>

namespace Stagepost {

// The outcome of a JSON-RPC call: the result as JSON, or an error message if `error` is not empty.
struct RpcResult {
    std::string json;
    std::string error;
};

// Makes one JSON-RPC 2.0 call. `send` transmits the serialized request and returns the response
// body, or an empty string on failure; it must not throw.
RpcResult callRpc(std::function<std::string(std::string const&)> const& send, std::string const& method, std::string const& parametersJson);

}
