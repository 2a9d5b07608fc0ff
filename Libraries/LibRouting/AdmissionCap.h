#pragma once

#include <LibBase/Time.h>
#include <LibRouting/PoolPolicy.h>
#include <cstddef>

namespace Stagepost {

// Computes the maximum number of in-flight requests for one upstream from the pool's
// mean load. The result stays admissionMargin below loadMultiple, because the mean can
// fall while admitted requests are still running.
size_t admissionCap(PoolPolicy const&, double meanLoad);

// Same as admissionCap(), but ramps up linearly during the slow start after a return.
size_t rampedCap(PoolPolicy const&, double meanLoad, Microseconds sinceReturn);

}
