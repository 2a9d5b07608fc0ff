#include <stagepostd/EventNumberingLog.h>

#include <LibBase/Hex.h>
#include <LibBase/Log.h>

namespace Stagepost {

void learnNumbering(EventNumberings& numberings, EventNumberings::Key const& key, UpstreamId upstream, ForwardResult const& result, EventProgress const& progress)
{
    constexpr unsigned firstRedirect = 300;
    bool hasChanged = false;
    if (!result.failure && result.status < firstRedirect)
        hasChanged = numberings.streamCompleted(key, upstream, progress.nextNumbers, progress.gaps);
    else if (result.eventFault == EventFault::MissingEvent)
        hasChanged = numberings.eventMissed(key, upstream);
    if (hasChanged)
        logEvent(LogLevel::Info, "event-numbering", { { "service", key.service }, { "version", key.version }, { "numbering", nameOf(numberings.numberingOf(key)) }, { "upstream_id", toHex(upstream.value()) } });
}

}
