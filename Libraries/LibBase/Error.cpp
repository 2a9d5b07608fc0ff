#include <LibBase/Error.h>

#include <cstdlib>

namespace Stagepost {

namespace {

    class ErrorCategory final : public std::error_category {
    public:
        char const* name() const noexcept override { return "stagepost"; }

        std::string message(int value) const override
        {
            switch (static_cast<ErrorCode>(value)) {
            case ErrorCode::BadInput:
                return "bad input";
            case ErrorCode::Cancelled:
                return "cancelled";
            case ErrorCode::Conflict:
                return "conflict";
            case ErrorCode::NotAuthenticated:
                return "not authenticated";
            case ErrorCode::LimitReached:
                return "limit reached";
            case ErrorCode::Malformed:
                return "malformed";
            case ErrorCode::NotFound:
                return "not found";
            case ErrorCode::OutOfWindow:
                return "outside the window";
            case ErrorCode::PlatformDown:
                return "platform down";
            case ErrorCode::Replayed:
                return "replayed";
            case ErrorCode::Timeout:
                return "timeout";
            case ErrorCode::Unreachable:
                return "unreachable";
            }
            return "unknown";
        }
    };

}

std::error_category const& errorCategory()
{
    static ErrorCategory const category;
    return category;
}

std::error_code make_error_code(ErrorCode code)
{
    return { static_cast<int>(code), errorCategory() };
}

std::string Error::message() const
{
    return code.message() + ": " + detail;
}

// Boost calls this when value() is called on a result that holds an error, which is a
// programming error.
void throw_exception_from_error(Error const&, boost::source_location const&)
{
    std::abort();
}

}
