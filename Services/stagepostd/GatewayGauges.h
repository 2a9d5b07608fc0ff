#pragma once

#include <LibBase/Metrics.h>
#include <stagepostd/ServiceTable.h>

namespace Stagepost {

void setServiceGauges(ServiceTable const&, Instant now, Metrics&);

}
