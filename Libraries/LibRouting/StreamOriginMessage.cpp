#include <LibRouting/StreamOriginMessage.h>

#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>
#include <LibRouting/VersionHistory.h>
#include <algorithm>

namespace Stagepost {

namespace {

    // Encoded in front of each message as the index of its variant alternative, so the order is
    // part of the wire format.
    enum class Kind : uint8_t {
        Record,
        Query,
        Reply,
    };

    // Bits of a reply's flags field. Daemons of an earlier version know the first two and ignore the others.
    constexpr uint64_t completeFlag = 1;
    constexpr uint64_t uniformFlag = 2;
    constexpr uint64_t severalFlag = 4;
    constexpr uint64_t agesFlag = 8;
    constexpr uint64_t contradictoryFlag = 16;
    constexpr unsigned keptForShift = 8;
    constexpr unsigned listAgeShift = 32;
    constexpr uint64_t maxAge = (1U << 24U) - 1;

    uint64_t wholeMilliseconds(Microseconds time)
    {
        return std::min(static_cast<uint64_t>(std::max<int64_t>(0, time.count() / 1000)), maxAge);
    }

    // A list may be older than said by less than the unit.
    uint64_t packFlags(StreamOriginReply const& reply)
    {
        return (reply.keptFor >= VersionHistory::memory ? completeFlag : 0) | (reply.uniform ? uniformFlag : 0) | (reply.hasSeveral ? severalFlag : 0)
            | (reply.isContradictory ? contradictoryFlag : 0) | agesFlag | wholeMilliseconds(reply.keptFor) << keptForShift | wholeMilliseconds(reply.listAge + Milliseconds(1)) << listAgeShift;
    }

    void write(MessageWriter& writer, StreamOriginRecord const& record)
    {
        writer.id(record.stream);
        writer.id(record.version);
        writer.duration(record.lifetime);
    }

    void write(MessageWriter& writer, StreamOriginQuery const& query)
    {
        writer.number(query.queryId);
        writer.id(query.stream);
        writer.text(query.service);
    }

    // The hash of a version is never null in practice; null stands for none.
    void write(MessageWriter& writer, StreamOriginReply const& reply)
    {
        writer.number(reply.queryId);
        writer.id(reply.recorded.value_or(VersionId()));
        writer.number(packFlags(reply));
        writer.id(reply.withoutRecords.value_or(VersionId()));
        writer.id(reply.uniform.value_or(VersionId()));
    }

    std::optional<VersionId> readVersion(MessageReader& reader)
    {
        auto const version = reader.id<VersionId>();
        return version.isNull() ? std::nullopt : std::optional(version);
    }

    StreamOriginRecord readRecord(MessageReader& reader)
    {
        StreamOriginRecord record;
        record.stream = reader.id<StreamId>();
        record.version = reader.id<VersionId>();
        record.lifetime = reader.duration();
        return record;
    }

    StreamOriginQuery readQuery(MessageReader& reader)
    {
        StreamOriginQuery query;
        query.queryId = reader.number();
        query.stream = reader.id<StreamId>();
        query.service = reader.text();
        return query;
    }

    // Daemons of an earlier version don't say how old their list is, so that it proves nothing.
    StreamOriginReply readReply(MessageReader& reader)
    {
        StreamOriginReply reply;
        reply.queryId = reader.number();
        reply.recorded = readVersion(reader);
        auto const flags = reader.number();
        reply.hasSeveral = (flags & severalFlag) != 0;
        reply.isContradictory = (flags & contradictoryFlag) != 0;
        reply.withoutRecords = readVersion(reader);
        auto const uniform = readVersion(reader);
        if (flags & agesFlag) {
            reply.keptFor = Milliseconds(flags >> keptForShift & maxAge);
            reply.listAge = Milliseconds(flags >> listAgeShift & maxAge);
            if (flags & uniformFlag)
                reply.uniform = uniform;
        } else if (flags & completeFlag) {
            reply.keptFor = VersionHistory::memory;
        }
        return reply;
    }

    std::optional<StreamOriginMessage> readMessage(MessageReader& reader)
    {
        switch (static_cast<Kind>(reader.number())) {
        case Kind::Record:
            return readRecord(reader);
        case Kind::Query:
            return readQuery(reader);
        case Kind::Reply:
            return readReply(reader);
        }
        return {};
    }

}

std::string encodeStreamOriginMessage(StreamOriginMessage const& message)
{
    MessageWriter writer;
    writer.number(message.index());
    std::visit([&writer](auto const& each) { write(writer, each); }, message);
    return writer.release();
}

Result<StreamOriginMessage> decodeStreamOriginMessage(std::string_view bytes)
{
    MessageReader reader(bytes);
    auto const message = readMessage(reader);
    if (!message || !reader.finished())
        return Error { ErrorCode::Malformed, "malformed stream origin message" };
    return *message;
}

}
