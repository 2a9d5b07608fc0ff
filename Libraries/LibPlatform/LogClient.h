#pragma once

#include <LibPlatform/FetchHook.h>
#include <LibPlatform/LogBatch.h>
#include <functional>

namespace Stagepost {

// Client of the append-only log, which has this HTTP interface:
//   POST /v1/streams/NAME/records          the body is one record; returns {"offset":N}
//   GET  /v1/streams/NAME/records?from=N&max=N&wait_ms=N
// A read waits up to wait_ms until there is a record at or after the offset `from`.
class LogClient {
public:
    using AppendCallback = std::function<void(Result<Offset>)>;
    using ReadCallback = std::function<void(Result<LogBatch>)>;

    LogClient(Endpoint log, FetchHook fetch)
        : m_log(std::move(log))
        , m_fetch(std::move(fetch))
    {
    }

    // Errors: Unreachable if the record was certainly not appended, LimitReached if the log
    // rejected it. After any other error the record may have been appended, and only a read
    // of the stream can tell.
    void append(std::string const& stream, std::string record, AppendCallback) const;

    // Error: PlatformDown.
    void read(std::string const& stream, Offset from, size_t maxRecords, Milliseconds wait, ReadCallback) const;

private:
    Endpoint m_log;
    FetchHook m_fetch;
};

}
