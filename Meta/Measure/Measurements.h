#pragma once

#include <Measure/Arguments.h>

namespace Stagepost::Measure {

// Each prints key=value lines and returns the exit code: 0 when every call that
// it made was answered as it should be.
int measureProxy(Arguments const&);
int measurePlacement(Arguments const&);
int measureOnce(Arguments const&);
int measureMembership(Arguments const&);
int measureInForce(Arguments const&);
int measureSettings(Arguments const&);
int measureCapacity(Arguments const&);

}
