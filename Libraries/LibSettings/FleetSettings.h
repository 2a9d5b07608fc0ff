#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <LibSettings/SettingsTree.h>
#include <map>
#include <string>
#include <unordered_map>

namespace Stagepost {

struct OrganisationSettings {
    OrganisationId id;
    std::string name;
    double weight { 1 };
    double requestsPerSecond { 0 };
    size_t inFlight { 0 };
    bool urgent { true };
};

// The settings for the upstreams of one pool of inference engines or of one service.
struct PoolSettings {
    PoolId id;
    std::string path;
    TextList models;
    double loadMultiple { 1.25 };
    double admissionMargin { 0.05 };
    double newChatReserve { 0.5 };
    Microseconds recomputePerToken { 200 };
    size_t leastCap { 8 };
    size_t mostInFlight { 256 };
    size_t candidates { 6 };
    size_t queueLength { 512 };
    double bulkShare { 0.1 };
    Milliseconds queueWait { 30000 };
    Milliseconds answerTimeout { 60000 };
    Milliseconds idleTimeout { 60000 };
    double retryShare { 0.1 };
    size_t mostTries { 3 };
    size_t breakerFailures { 5 };
    Milliseconds breakerPause { 1000 };
    Microseconds returnRamp { 10000000 };
    bool checksFences { false };
};

struct OnceSettings {
    size_t ticketWindow { 4096 };
    Seconds claimWindow { 3600 };
    Seconds logRetention { 86400 };
    double logAppendsPerSecond { 200 };
    size_t memoryBytes { 16 << 20 };
    size_t answerKeepBytes { 16384 };
};

// The settings tree with all values resolved, indexed for lookups while serving requests.
struct FleetSettings {
    // Error: BadInput if a token hash is malformed or settings contradict each other, for
    // example if two pools list the same model, or the claim window is longer than half the
    // log's retention.
    static Result<FleetSettings> create(SettingsTree const&);

    std::unordered_map<OrganisationId, OrganisationSettings> organisations;
    std::map<PoolId, PoolSettings> pools;
    std::map<std::string, PoolId, std::less<>> poolByModel;
    std::map<std::string, OrganisationId, std::less<>> organisationByTokenHash;
    OnceSettings once;
};

// The hash of a bearer token as stored in token_hashes (BLAKE2b, 128 bits as 32 hex digits).
std::string hashOfToken(std::string_view token);

}
