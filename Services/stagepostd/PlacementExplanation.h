#pragma once

#include <LibPlatform/VMList.h>
#include <LibRouting/AdmissionController.h>
#include <stagepostd/OperatorServer.h>
#include <stagepostd/SettingsPolicies.h>

namespace Stagepost {

// What an explanation is drawn from.
struct PlacementKnowledge {
    AdmissionController& node;
    VMList const& vms;
    SettingsPolicies const& policies;
    std::string const& ownName;
};

// The chat that is asked about.
struct ExplainedChat {
    std::string const& model;
    std::string const& organisation;
    std::string const& chat;
};

// The upstreams that a chat would be placed on, the best first, and what is known
// of each here. Empty for a model that no pool serves.
std::vector<CandidateExplanation> explainPlacement(PlacementKnowledge const&, ExplainedChat const&, Instant now);

}
