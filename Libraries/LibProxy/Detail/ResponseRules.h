#pragma once

#include <LibProxy/Detail/Native.h>
#include <algorithm>
#include <string_view>

namespace Stagepost {

// Whether HTTP has such a status (RFC 9110, section 15). Nothing can be told of an answer with another one, not even whether
// it is interim.
inline bool isStatusCode(unsigned status)
{
    return status >= 100 && status < 600;
}

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

// Whether the bytes of the body have to be decoded before they can be read.
inline bool isBodyEncoded(Http::fields const& header)
{
    auto const [first, last] = header.equal_range(Http::field::content_encoding);
    return std::any_of(first, last, [](auto const& field) { return !Beast::iequals(field.value(), "identity"); });
}

// Whether what was read has not the form of an HTTP message. A message that only breaks off may have been a sound one.
inline bool isFormatError(NetError failure)
{
    static auto const& category = Http::make_error_code(Http::error::bad_value).category();
    return failure.category() == category && failure != Http::error::end_of_stream && failure != Http::error::partial_message;
}

}
