#pragma once

#include <LibProxy/Detail/Native.h>
#include <algorithm>
#include <iterator>

namespace Stagepost {

// Whether a request's head tells where its body ends, and how the parser is about to read it (RFC 9112, sections 6.1 to 6.3).
// Bytes behind a body whose end can be read in two ways would be taken for another request, so only one field with the length,
// or one with the coding "chunked" alone, is accepted.
template <typename Parser>
NetError checkRequestFraming(Parser const& parser)
{
    auto const& head = parser.get();
    auto const lengths = head.count(Http::field::content_length);
    auto const [coding, end] = head.equal_range(Http::field::transfer_encoding);
    if (coding == end) {
        if (lengths > 1)
            return Http::make_error_code(Http::error::multiple_content_length);
        auto const length = head[Http::field::content_length];
        bool const isNumber = !length.empty() && std::all_of(length.begin(), length.end(), [](char digit) { return digit >= '0' && digit <= '9'; });
        bool const isSound = !lengths || (isNumber && parser.content_length());
        return isSound && !parser.chunked() ? NetError() : Http::make_error_code(Http::error::bad_content_length);
    }
    bool const isChunkedAlone = std::distance(coding, end) == 1 && Beast::iequals(coding->value(), "chunked");
    bool const isReadSo = parser.chunked() && !parser.content_length();
    bool const isSound = isChunkedAlone && isReadSo && !lengths && head.version() >= 11;
    return isSound ? NetError() : Http::make_error_code(Http::error::bad_transfer_encoding);
}

}
