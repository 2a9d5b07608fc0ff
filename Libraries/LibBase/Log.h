#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace Stagepost {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

// One key and its value of a log line.
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

// One line of key=value pairs in printable ASCII. A value with spaces, quotes or
// other bytes is quoted; a quote and a backslash follow a backslash there, and any
// byte that is not printable ASCII is \xNN.
std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields = {});

// Writes that line to the standard output. Never waits for a reader:
// lines that go over the budget of LogBudget are left out, and the next line that is written
// tells how many. Some lines that the output does not take are kept until it does.
void logEvent(LogLevel, std::string_view event, std::initializer_list<LogField> fields = {});

// The same for what became of one request. In a surge such lines leave room to the others: what
// a process came to believe explains many requests.
void logRequest(std::initializer_list<LogField>);

// Writes lines that the output did not take before, as far as it does now.
void flushLog();

// Sets the least level that is written; "debug", "info", "warning" or "error".
// Returns false on another name.
bool setLogLevel(std::string_view name);

}
