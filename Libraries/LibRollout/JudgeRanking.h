#pragma once

#include <LibBase/FleetPeer.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Stagepost {

// A daemon's rendezvous rank as judge of a service: the daemon with the highest rank that answers is the
// judge of its hall. The same on all daemons, and differs by service.
uint64_t judgeRank(std::string const& service, VMId);

// Sorts by descending rank.
void sortByJudgeRank(std::string const& service, std::vector<VMId>&);

}
