#pragma once

#include <LibProxy/Detail/Native.h>
#include <string_view>

namespace Stagepost {

inline bool mayHaveBody(unsigned status)
{
    return status != 204 && status != 304;
}

inline bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

inline bool isEventStream(std::string_view contentType)
{
    auto const mediaType = contentType.substr(0, contentType.find_first_of("; \t"));
    return Beast::iequals(mediaType, "text/event-stream");
}

// Whether what was read has not the form of an HTTP message. A message that only breaks off may have been a sound one.
inline bool isFormatError(NetError failure)
{
    static auto const& category = Http::make_error_code(Http::error::bad_value).category();
    return failure.category() == category && failure != Http::error::end_of_stream && failure != Http::error::partial_message;
}

}
