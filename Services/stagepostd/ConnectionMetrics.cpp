#include <stagepostd/ConnectionMetrics.h>

namespace Stagepost {

void countForwardEnd(Metrics& metrics, ForwardResult const& result)
{
    if (result.eventFault)
        metrics.count("stagepost_event_faults_total", "fault=\"" + std::string(nameOf(*result.eventFault)) + '"');
    if (result.connectionEnd == ConnectionEnd::None)
        return;
    std::string label = result.connectionEnd == ConnectionEnd::Reset ? "end=\"reset\"" : "end=\"closed\"";
    label += ",reason=\"";
    label += result.failure ? nameOf(*result.failure) : "answered";
    label += '"';
    metrics.count("stagepost_upstream_connections_ended_total", label);
}

}
