#pragma once

#include <LibBase/Hooks.h>

namespace Stagepost {

// Random numbers seeded by the system, for a program that runs; tests seed their own.
RandomHook systemRandom();

}
