#include <stagepostctl/SettingsLog.h>

#include <LibSettings/FleetSettings.h>

namespace Stagepost {

namespace {

    constexpr size_t maxRecordsPerRead = 100;

    bool isValidTree(std::string const& toml)
    {
        return parseValidTree(toml).has_value();
    }

}

Result<SettingsTree> parseValidTree(std::string const& toml)
{
    auto tree = TRY(SettingsTree::parse(toml));
    TRY(FleetSettings::create(tree));
    return tree;
}

SettingsLog::SettingsLog(EventLoop& loop, Endpoint log)
    : m_loop(loop)
    , m_client(loop)
    , m_log(std::move(log), makeFetchHook(m_client))
    , m_reader(isValidTree)
{
}

Result<LogBatch> SettingsLog::readBatch()
{
    Result<LogBatch> result = Error(ErrorCode::PlatformDown, "no response from the log");
    m_log.read(settingsStream, m_reader.position(), maxRecordsPerRead, Milliseconds(0), [&](Result<LogBatch> batch) {
        result = std::move(batch);
        m_loop.stop();
    });
    m_loop.run();
    return result;
}

Result<void> SettingsLog::refresh()
{
    while (true) {
        auto const batch = TRY(readBatch());
        if (batch.first > m_reader.position())
            m_reader.skipTo(batch.first);
        if (batch.first.isNull() && m_reader.position().isNull())
            m_reader.startAtBeginning();
        for (auto const& record : batch.records) {
            auto const outcome = m_reader.apply(record.offset, record.body);
            auto const publication = Publication::fromRecord(record.body);
            auto const revision = m_reader.accepted() ? m_reader.accepted()->revision : Revision {};
            if (publication)
                m_entries.push_back({ record.offset, *publication, outcome, revision });
        }
        if (m_reader.position() >= batch.next)
            return {};
    }
}

Result<Offset> SettingsLog::append(Publication const& publication)
{
    Result<Offset> result = Error(ErrorCode::PlatformDown, "no response from the log");
    m_log.append(settingsStream, publication.toRecord(), [&](Result<Offset> offset) {
        result = std::move(offset);
        m_loop.stop();
    });
    m_loop.run();
    return result;
}

}
