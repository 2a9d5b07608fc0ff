#pragma once

#include <Measure/Arguments.h>

namespace Stagepost::Measure {

// Each prints lines of key=value pairs and returns the exit code, 0 if no call or check failed.
int measureProxy(Arguments const&);
int measurePlacement(Arguments const&);
int measureOnce(Arguments const&);
int measureMembership(Arguments const&);
int measureInForce(Arguments const&);
int measureSettings(Arguments const&);
int measureCapacity(Arguments const&);

}
