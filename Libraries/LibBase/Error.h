#pragma once

#include <string>
#include <system_error>

namespace boost {
struct source_location;
}

namespace Stagepost {

// Error codes of this project. Errors of the operating system keep their own category.
enum class ErrorCode {
    BadInput = 1,
    Cancelled,
    Conflict,
    NotAuthenticated,
    LimitReached,
    Malformed,
    NotFound,
    OutOfWindow,
    PlatformDown,
    Replayed,
    Timeout,
    Unreachable,
};

std::error_category const& errorCategory();
std::error_code make_error_code(ErrorCode);

// An error code and a human-readable description of the specific failure.
struct Error {
    std::error_code code;
    std::string detail;

    Error() = default;
    Error(ErrorCode errorCode, std::string text)
        : code(make_error_code(errorCode))
        , detail(std::move(text))
    {
    }

    // Returns "code: detail".
    std::string message() const;
};

[[noreturn]] void throw_exception_from_error(Error const&, boost::source_location const&);

}

template <>
struct std::is_error_code_enum<Stagepost::ErrorCode> : std::true_type {
};
