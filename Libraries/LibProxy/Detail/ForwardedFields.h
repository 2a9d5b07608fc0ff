#pragma once

#include <LibProxy/ForwardPlan.h>

namespace Stagepost {

// The fields that the client gets of an upstream's response with these fields. The framing is left to the connection.
inline HttpFields forwardedFields(HttpFields fields, ForwardPlan const& plan)
{
    fields.removeHopByHop(plan.endToEndFields);
    fields.remove("Content-Length");
    for (auto const field : plan.removedResponseFields)
        fields.remove(field);
    for (auto const& field : plan.extraResponseHeaders)
        fields.set(field.name, field.value);
    return fields;
}

}
