#pragma once

#include <LibBase/Result.h>
#include <LibMembership/UpstreamRecord.h>

namespace Stagepost {

// Checks each field of a record whose fields have the right types: another writer of the store may have left it, or a
// daemon of an earlier version may have passed it on. Everything that reads records calls this. Error: BadInput that
// names the field.
Result<void> checkUpstreamRecord(UpstreamRecord const&);

}
