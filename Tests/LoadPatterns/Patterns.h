#pragma once

#include <LoadPatterns/FleetSimulation.h>
#include <string>

namespace Stagepost::LoadPatterns {

// The fraction of requests beyond the bound that the users allow in any five seconds, unless these
// are only a few requests.
constexpr double maxBeyondBound = 0.03;
// In steady state a third of the allowance is reserved for effects that the simulation lacks.
constexpr double maxBeyondBoundInCalm = 0.02;
// At the start of traffic, where the simulation underestimates the load peaks, half is reserved.
constexpr double maxBeyondBoundAtStart = 0.015;

// 295 daemons that send about two requests per second each. Nearly all of an upstream's load comes
// from other daemons and is known one or two seconds late, which is longer than an answer takes.
LoadPattern largeFleet();

// 73 daemons and 90 upstreams in three halls.
LoadPattern fleetOfThreeHalls();

// Six daemons with counts that are half a second old.
LoadPattern smallFleet();

// The first seconds of a large fleet: no context has been prefilled, prefill slows down the
// engines' streams, and requests arrive in batches.
LoadPattern largeFleetAtStart();

// Simulates the pattern with several seeds and checks that the fraction beyond the bound in the worst
// five seconds of each run is below the limit.
void checkBound(LoadPattern const&, std::string const& name, size_t fromSecond, double limit, uint64_t seeds = 4);

}
