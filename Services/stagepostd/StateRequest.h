#pragma once

#include <LibMembership/StateMessage.h>
#include <optional>
#include <string>
#include <string_view>

namespace Stagepost {

// A daemon's request for the state of another one, with what it knows already.
std::string formatStateRequest(StateSummary const& known);

// Returns none if the text is no such request. Numbers that cannot be parsed count as 0, so that the answer contains the
// full state.
std::optional<StateSummary> parseStateRequest(std::string_view);

}
