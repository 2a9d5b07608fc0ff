#pragma once

#include <LoadPatterns/StreamFleet.h>
#include <string>

namespace Stagepost::LoadPatterns {

// What the users allow of any five seconds, where it is more than a few requests.
constexpr double allowedBeyondBound = 0.03;
// In a calm time a third of that is left to what the pattern does not show.
constexpr double tolerableInCalm = 0.02;
// Half of it where traffic begins, of which the pattern shows less than there is.
constexpr double tolerableAtStart = 0.015;

// Of 295 daemons each sends some two requests a second, and nearly all of an
// upstream's load is known a second or two late, while an answer takes less.
StreamPattern largeFleet();

// Six daemons whose counts are half a second old.
StreamPattern smallFleet();

// The first seconds of a large fleet: nobody has read anything yet, engines that read
// hold up their streams, and requests come in clumps.
StreamPattern startOfALargeFleet();

// Plays the pattern with some seeds, and holds the worst five seconds of each to what is
// tolerable.
void play(StreamPattern const&, std::string const& name, size_t fromSecond, double tolerable, uint64_t seeds = 4);

}
