#include <LibBase/Log.h>

#include <LibBase/LogBudget.h>
#include <algorithm>
#include <deque>
#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace Stagepost {

namespace {

    constexpr char const* requestsLogger = "requests";

    // Writes to the standard output and never waits for whoever reads it: a pipe
    // that poll() calls writable takes PIPE_BUF bytes at once, and a line is cut to
    // fit. What goes over the budget is left out and counted, and so are lines of requests that
    // do not fit in; of the others some are kept until they do.
    class StandardOutputSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
    public:
        static constexpr size_t longestLine = 4096;
        static constexpr size_t mostKept = 64;

    private:
        void sink_it_(spdlog::details::log_msg const& message) override
        {
            bool const isOfRequest = std::string_view(message.logger_name.data(), message.logger_name.size()) == requestsLogger;
            if (!m_budget.allows(MonotonicClock::now(), isOfRequest ? LogBudget::keptFromRequests : 0))
                return;
            flush_();
            if (m_kept.empty() && write(formatted(message)))
                return;
            if (isOfRequest || m_kept.size() == mostKept)
                m_budget.leaveOut();
            else
                m_kept.push_back(formatted(message));
        }

        void flush_() override
        {
            while (!m_kept.empty() && write(m_kept.front()))
                m_kept.pop_front();
            if (!m_budget.hasLeftOut() || !canWrite())
                return;
            write("level=warning event=log-left-out lines=" + std::to_string(m_budget.takeLeftOut()) + '\n');
        }

        std::string formatted(spdlog::details::log_msg const& message)
        {
            spdlog::memory_buf_t line;
            formatter_->format(message, line);
            if (line.size() > longestLine) {
                line.resize(longestLine);
                line[longestLine - 1] = '\n';
            }
            return { line.data(), line.size() };
        }

        static bool canWrite()
        {
            pollfd output { STDOUT_FILENO, POLLOUT, 0 };
            return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT);
        }

        static bool write(std::string_view text) { return canWrite() && ::write(STDOUT_FILENO, text.data(), text.size()) == static_cast<ssize_t>(text.size()); }

        LogBudget m_budget;
        std::deque<std::string> m_kept;
    };

    std::shared_ptr<spdlog::logger> makeLogger(char const* name, spdlog::sink_ptr sink)
    {
        auto created = std::make_shared<spdlog::logger>(name, std::move(sink));
        created->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
        return created;
    }

    // Both write to the one output, by its one budget.
    struct Loggers {
        spdlog::sink_ptr sink { std::make_shared<StandardOutputSink>() };
        std::shared_ptr<spdlog::logger> events { makeLogger("stagepost", sink) };
        std::shared_ptr<spdlog::logger> requests { makeLogger(requestsLogger, sink) };
    };

    Loggers& loggers()
    {
        static Loggers instance;
        return instance;
    }

    spdlog::logger& logger() { return *loggers().events; }

    bool isPrintable(unsigned char letter)
    {
        return letter >= ' ' && letter < 0x7f;
    }

    bool needsQuotes(std::string_view value)
    {
        return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char letter) {
            return !isPrintable(letter) || letter == ' ' || letter == '"' || letter == '=';
        });
    }

    // Values may hold whatever bytes came from outside, and whoever reads the log
    // takes it for text.
    void appendEscaped(std::string& line, unsigned char letter)
    {
        if (isPrintable(letter)) {
            if (letter == '"' || letter == '\\')
                line += '\\';
            line += static_cast<char>(letter);
            return;
        }
        constexpr std::string_view digits = "0123456789abcdef";
        line += "\\x";
        line += digits[letter >> 4];
        line += digits[letter & 0xf];
    }

    void appendValue(std::string& line, std::string_view value)
    {
        if (!needsQuotes(value)) {
            line += value;
            return;
        }
        line += '"';
        for (unsigned char const letter : value)
            appendEscaped(line, letter);
        line += '"';
    }

    spdlog::level::level_enum levelOf(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return spdlog::level::debug;
        case LogLevel::Info:
            return spdlog::level::info;
        case LogLevel::Warning:
            return spdlog::level::warn;
        case LogLevel::Error:
            return spdlog::level::err;
        }
        return spdlog::level::info;
    }

}

std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "event=";
    appendValue(line, event);
    for (auto const& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    return line;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (logger().should_log(levelOf(level)))
        logger().log(levelOf(level), formatEvent(event, fields));
}

void logRequest(std::initializer_list<LogField> fields)
{
    auto& requests = *loggers().requests;
    if (requests.should_log(spdlog::level::info))
        requests.info(formatEvent("request", fields));
}

void flushLog()
{
    loggers().sink->flush();
}

bool setLogLevel(std::string_view name)
{
    for (auto level : { LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error }) {
        auto const text = spdlog::level::to_string_view(levelOf(level));
        if (name == std::string_view(text.data(), text.size())) {
            logger().set_level(levelOf(level));
            loggers().requests->set_level(levelOf(level));
            return true;
        }
    }
    return false;
}

}
