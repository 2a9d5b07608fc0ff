#pragma once

#include <LibProxy/Detail/Native.h>
#include <LibProxy/HttpMessage.h>

namespace Stagepost {

// Copies the header fields of a parsed message.
inline HttpFields toHttpFields(Http::fields const& parsed)
{
    HttpFields fields;
    for (auto const& field : parsed)
        fields.add(field.name_string(), field.value());
    return fields;
}

}
