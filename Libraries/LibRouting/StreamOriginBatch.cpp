#include <LibRouting/StreamOriginBatch.h>

#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>

namespace Stagepost {

namespace {

    constexpr char formatVersion { 1 };

}

std::string StreamOriginBatch::encode(std::vector<StreamOriginRecord> const& records)
{
    auto const count = std::min(records.size(), maxRecords);
    MessageWriter writer;
    writer.number(count);
    for (size_t index = 0; index < count; ++index) {
        writer.id(records[index].stream);
        writer.id(records[index].version);
        writer.duration(records[index].lifetime);
    }
    return formatVersion + writer.release();
}

Result<std::vector<StreamOriginRecord>> StreamOriginBatch::decode(std::string_view bytes)
{
    Error const malformed(ErrorCode::Malformed, "malformed batch of stream origins");
    if (bytes.empty() || bytes.front() != formatVersion)
        return malformed;
    MessageReader reader(bytes.substr(1));
    auto const count = reader.count();
    std::vector<StreamOriginRecord> records;
    records.reserve(count);
    for (size_t index = 0; index < count && !reader.failed(); ++index) {
        auto const stream = reader.id<StreamId>();
        auto const version = reader.id<VersionId>();
        records.push_back({ stream, version, reader.duration() });
    }
    if (!reader.finished())
        return malformed;
    return records;
}

}
