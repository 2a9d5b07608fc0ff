#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Stagepost {

// The status of one daemon, for the operator's tool.
struct DaemonStatus {
    std::string name;
    std::string hall;
    uint64_t revision { 0 };
    bool isReady { false };
    bool isDraining { false };
    bool isLogReachable { false };
    uint64_t daemons { 0 };
    uint64_t upstreams { 0 };
    uint64_t ownedUpstreams { 0 };
    uint64_t openRequests { 0 };
    uint64_t queuedRequests { 0 };
};

// One candidate upstream of a chat.
struct CandidateExplanation {
    std::string upstream;
    std::string hall;
    std::string owner;
    // Only the owner knows the load, the cap and the contexts.
    bool isOwnedHere { false };
    uint64_t load { 0 };
    uint64_t cap { 0 };
    bool holdsContext { false };
};

struct OperatorHooks {
    std::function<DaemonStatus()> status;
    std::function<void(bool draining)> setDraining;
    // Returns the chat's candidate upstreams in order of preference.
    std::function<std::vector<CandidateExplanation>(std::string const& model, std::string const& organisation, std::string const& chat)> explain;
};

// Serves the operator's tool over JSON-RPC 2.0, with the methods status, drain, undrain and explain.
class OperatorServer {
public:
    explicit OperatorServer(OperatorHooks);
    ~OperatorServer();
    OperatorServer(OperatorServer const&) = delete;
    OperatorServer& operator=(OperatorServer const&) = delete;

    // Handles a JSON-RPC request and returns the response, both as text.
    std::string handle(std::string const& request);

private:
    class Connector;
    class Procedures;
    std::unique_ptr<Connector> m_connector;
    std::unique_ptr<Procedures> m_procedures;
};

}
