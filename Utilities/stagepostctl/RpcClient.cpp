#include "RpcClient.h"

#include <jsonrpccpp/client.h>
#include <sstream>

namespace Stagepost {

namespace {

    class CallbackConnector final : public jsonrpc::IClientConnector {
    public:
        explicit CallbackConnector(std::function<std::string(std::string const&)> const& send)
            : m_send(send)
        {
        }

        void SendRPCMessage(std::string const& message, std::string& result) throw(jsonrpc::JsonRpcException) override // NOLINT
        {
            result = m_send(message);
        }

    private:
        std::function<std::string(std::string const&)> const& m_send;
    };

}

RpcResult callRpc(std::function<std::string(std::string const&)> const& send, std::string const& method, std::string const& parametersJson)
{
    Json::Value parameters(Json::objectValue);
    std::istringstream(parametersJson) >> parameters;
    CallbackConnector connector(send);
    jsonrpc::Client client(connector);
    try {
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        return { Json::writeString(writer, client.CallMethod(method, parameters)), {} };
    } catch (jsonrpc::JsonRpcException const& failure) {
        return { {}, failure.what() };
    }
}

}
