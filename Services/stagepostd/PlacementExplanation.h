#pragma once

#include <LibPlatform/VMList.h>
#include <LibRouting/AdmissionController.h>
#include <stagepostd/OperatorServer.h>
#include <stagepostd/SettingsPolicies.h>

namespace Stagepost {

// The sources of an explanation.
struct ExplanationSources {
    AdmissionController& admission;
    VMList const& vms;
    SettingsPolicies const& policies;
    std::string const& daemonName;
};

// The chat to explain.
struct ChatQuery {
    std::string const& model;
    std::string const& organisation;
    std::string const& chat;
};

// Returns the candidate upstreams of a chat in order of preference, with what this daemon knows of
// each. Empty if no pool serves the model.
std::vector<CandidateExplanation> explainPlacement(ExplanationSources const&, ChatQuery const&, Instant now);

}
