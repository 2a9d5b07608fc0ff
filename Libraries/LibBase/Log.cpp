#include <LibBase/Log.h>

#include <LibBase/LogRateLimiter.h>
#include <algorithm>
#include <deque>
#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace Stagepost {

namespace {

    constexpr char const* requestLoggerName = "requests";

    // Writes to standard output without blocking. A pipe that poll() reports as writable
    // accepts at least PIPE_BUF bytes, so lines are truncated to that length. Lines over the
    // rate limit are dropped and counted. While the output accepts nothing, request lines are
    // dropped as well, and up to maxPendingLines other lines are queued.
    class StandardOutputSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
    public:
        static constexpr size_t maxLineBytes = 4096;
        static constexpr size_t maxPendingLines = 64;

    private:
        void sink_it_(spdlog::details::log_msg const& message) override
        {
            bool const isRequestLine = std::string_view(message.logger_name.data(), message.logger_name.size()) == requestLoggerName;
            if (!m_limiter.tryAcquire(MonotonicClock::now(), isRequestLine ? LogRateLimiter::reservedForEvents : 0))
                return;
            flush_();
            if (m_pending.empty() && write(formatted(message)))
                return;
            if (isRequestLine || m_pending.size() == maxPendingLines)
                m_limiter.recordDrop();
            else
                m_pending.push_back(formatted(message));
        }

        void flush_() override
        {
            while (!m_pending.empty() && write(m_pending.front()))
                m_pending.pop_front();
            if (!m_limiter.hasDropped() || !canWrite())
                return;
            write("level=warning event=log-left-out lines=" + std::to_string(m_limiter.takeDroppedCount()) + '\n');
        }

        std::string formatted(spdlog::details::log_msg const& message)
        {
            spdlog::memory_buf_t line;
            formatter_->format(message, line);
            if (line.size() > maxLineBytes) {
                line.resize(maxLineBytes);
                line[maxLineBytes - 1] = '\n';
            }
            return { line.data(), line.size() };
        }

        static bool canWrite()
        {
            pollfd output { STDOUT_FILENO, POLLOUT, 0 };
            return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT);
        }

        static bool write(std::string_view text) { return canWrite() && ::write(STDOUT_FILENO, text.data(), text.size()) == static_cast<ssize_t>(text.size()); }

        LogRateLimiter m_limiter;
        std::deque<std::string> m_pending;
    };

    std::shared_ptr<spdlog::logger> makeLogger(char const* name, spdlog::sink_ptr sink)
    {
        auto created = std::make_shared<spdlog::logger>(name, std::move(sink));
        created->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
        return created;
    }

    // Both loggers share one sink, and with it one rate limit.
    struct Loggers {
        spdlog::sink_ptr sink { std::make_shared<StandardOutputSink>() };
        std::shared_ptr<spdlog::logger> events { makeLogger("stagepost", sink) };
        std::shared_ptr<spdlog::logger> requests { makeLogger(requestLoggerName, sink) };
    };

    Loggers& loggers()
    {
        static Loggers instance;
        return instance;
    }

    spdlog::logger& logger() { return *loggers().events; }

    bool isPrintable(unsigned char byte)
    {
        return byte >= ' ' && byte < 0x7f;
    }

    bool needsQuotes(std::string_view value)
    {
        return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char byte) {
            return !isPrintable(byte) || byte == ' ' || byte == '"' || byte == '=';
        });
    }

    // Values may contain arbitrary bytes from the network, but the log must remain printable text.
    void appendEscaped(std::string& line, unsigned char byte)
    {
        if (isPrintable(byte)) {
            if (byte == '"' || byte == '\\')
                line += '\\';
            line += static_cast<char>(byte);
            return;
        }
        constexpr std::string_view digits = "0123456789abcdef";
        line += "\\x";
        line += digits[byte >> 4];
        line += digits[byte & 0xf];
    }

    void appendValue(std::string& line, std::string_view value)
    {
        if (!needsQuotes(value)) {
            line += value;
            return;
        }
        line += '"';
        for (unsigned char const byte : value)
            appendEscaped(line, byte);
        line += '"';
    }

    void appendField(std::string& line, LogField const& field)
    {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
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
    for (auto const& field : fields)
        appendField(line, field);
    return line;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (logger().should_log(levelOf(level)))
        logger().log(levelOf(level), formatEvent(event, fields));
}

void logRequest(std::initializer_list<LogField> fields, std::vector<LogField> const& additional)
{
    auto& requests = *loggers().requests;
    if (!requests.should_log(spdlog::level::info))
        return;
    auto line = formatEvent("request", fields);
    for (auto const& field : additional)
        appendField(line, field);
    requests.info(line);
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
