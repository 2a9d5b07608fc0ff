#pragma once

#include <LibPlatform/LogClient.h>
#include <LibProxy/HttpClient.h>
#include <LibSettings/PublicationReader.h>
#include <LibSettings/SettingsTree.h>
#include <optional>
#include <vector>

namespace Stagepost {

// Blocking reader and writer of the settings stream in the platform's log.
class SettingsLog {
public:
    struct Entry {
        Offset offset;
        Publication publication;
        PublicationReader::Outcome outcome;
        Revision revision;
    };

    SettingsLog(EventLoop&, Endpoint log);

    // Reads all records appended since the last call. Error: PlatformDown.
    Result<void> refresh();
    // Appends a publication. Errors: those of LogClient::append().
    Result<Offset> append(Publication const&);

    std::optional<AcceptedSettings> const& accepted() const { return m_reader.accepted(); }
    std::vector<Entry> const& entries() const { return m_entries; }

private:
    Result<LogBatch> readBatch();

    EventLoop& m_loop;
    HttpClient m_client;
    LogClient m_log;
    PublicationReader m_reader;
    std::vector<Entry> m_entries;
};

// Parses a settings tree and validates it by the rules that the daemons apply.
Result<SettingsTree> parseValidTree(std::string const& toml);

}
