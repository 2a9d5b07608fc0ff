#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Stagepost {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

// A key=value pair of a log line.
struct LogField {
    std::string_view key;
    std::string value;

    LogField(std::string_view name, std::string text)
        : key(name)
        , value(std::move(text))
    {
    }
    LogField(std::string_view name, std::string_view text)
        : LogField(name, std::string(text))
    {
    }
    LogField(std::string_view name, char const* text)
        : LogField(name, std::string(text))
    {
    }
    template <typename Number>
    LogField(std::string_view name, Number number)
        : LogField(name, std::to_string(number))
    {
    }
};

// Formats one line of key=value pairs in printable ASCII. Values that are empty or contain
// spaces, quotes, equals signs or non-printable bytes are quoted. Inside quotes, a quote and
// a backslash are escaped by a backslash, and a non-printable byte is written as \xNN.
std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields = {});

// Writes such a line to standard output without blocking. Lines over the limit of
// LogRateLimiter are dropped, and a later line reports how many. A limited number of lines
// is queued while the output does not accept them.
void logEvent(LogLevel, std::string_view event, std::initializer_list<LogField> fields = {});

// Logs the outcome of one request. During a burst, part of the rate limit stays reserved for
// logEvent(): one event, such as a change of state, explains the outcome of many requests.
// The additional fields follow the others.
void logRequest(std::initializer_list<LogField>, std::vector<LogField> const& additional = {});

// Writes as many of the queued lines as the output accepts.
void flushLog();

// Sets the minimum level of lines that are written: "debug", "info", "warning" or "error".
// Returns false for any other name.
bool setLogLevel(std::string_view name);

}
