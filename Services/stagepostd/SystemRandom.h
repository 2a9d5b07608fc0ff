#pragma once

#include <LibBase/Hooks.h>

namespace Stagepost {

// Returns a random number generator that is seeded by the system. Tests use one with a fixed seed.
RandomHook systemRandom();

}
