#include <stagepostd/OperatorServer.h>

#include <jsonrpccpp/server/abstractserver.h>

namespace Stagepost {

// Connects the JSON-RPC library to HttpServer, which receives the requests and sends the responses.
class OperatorServer::Connector final : public jsonrpc::AbstractServerConnector {
public:
    bool StartListening() override { return true; } // NOLINT(readability-identifier-naming)
    bool StopListening() override { return true; } // NOLINT(readability-identifier-naming)
    bool SendResponse(std::string const& response, void*) override // NOLINT(readability-identifier-naming)
    {
        m_response = response;
        return true;
    }

    std::string process(std::string const& request)
    {
        m_response.clear();
        OnRequest(request);
        return std::move(m_response);
    }

private:
    std::string m_response;
};

class OperatorServer::Procedures final : public jsonrpc::AbstractServer<Procedures> {
public:
    Procedures(Connector& connector, OperatorHooks hooks)
        : AbstractServer(connector)
        , m_hooks(std::move(hooks))
    {
        using jsonrpc::Procedure;
        bindAndAddMethod(Procedure("status", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr), &Procedures::status);
        bindAndAddMethod(Procedure("drain", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr), &Procedures::drain);
        bindAndAddMethod(Procedure("undrain", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr), &Procedures::undrain);
        bindAndAddMethod(Procedure("explain", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_ARRAY,
                             "model", jsonrpc::JSON_STRING, "organisation", jsonrpc::JSON_STRING, "chat", jsonrpc::JSON_STRING, nullptr),
            &Procedures::explain);
    }

private:
    void status(Json::Value const&, Json::Value& result)
    {
        auto const status = m_hooks.status();
        result["name"] = status.name;
        result["hall"] = status.hall;
        result["revision"] = Json::UInt64(status.revision);
        result["ready"] = status.isReady;
        result["draining"] = status.isDraining;
        result["log_reachable"] = status.isLogReachable;
        result["daemons"] = Json::UInt64(status.daemons);
        result["upstreams"] = Json::UInt64(status.upstreams);
        result["owned_upstreams"] = Json::UInt64(status.ownedUpstreams);
        result["open_requests"] = Json::UInt64(status.openRequests);
        result["queued_requests"] = Json::UInt64(status.queuedRequests);
    }

    void drain(Json::Value const& parameters, Json::Value& result)
    {
        m_hooks.setDraining(true);
        status(parameters, result);
    }

    void undrain(Json::Value const& parameters, Json::Value& result)
    {
        m_hooks.setDraining(false);
        status(parameters, result);
    }

    void explain(Json::Value const& parameters, Json::Value& result)
    {
        result = Json::Value(Json::arrayValue);
        for (auto const& candidate : m_hooks.explain(parameters["model"].asString(), parameters["organisation"].asString(), parameters["chat"].asString())) {
            Json::Value row;
            row["upstream"] = candidate.upstream;
            row["hall"] = candidate.hall;
            row["owner"] = candidate.owner;
            if (candidate.isOwnedHere) {
                row["load"] = Json::UInt64(candidate.load);
                row["cap"] = Json::UInt64(candidate.cap);
                row["holds_context"] = candidate.holdsContext;
            }
            result.append(row);
        }
    }

    OperatorHooks m_hooks;
};

OperatorServer::OperatorServer(OperatorHooks hooks)
    : m_connector(std::make_unique<Connector>())
    , m_procedures(std::make_unique<Procedures>(*m_connector, std::move(hooks)))
{
}

OperatorServer::~OperatorServer() = default;

std::string OperatorServer::handle(std::string const& request)
{
    return m_connector->process(request);
}

}
