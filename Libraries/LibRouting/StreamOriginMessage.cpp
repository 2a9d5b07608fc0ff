#include <LibRouting/StreamOriginMessage.h>

#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>

namespace Stagepost {

namespace {

    // Encoded in front of each message as the index of its variant alternative, so the order is
    // part of the wire format.
    enum class Kind : uint8_t {
        Record,
        Query,
        Reply,
    };

    // Bits of a reply's flags field.
    constexpr uint64_t completeFlag = 1;
    constexpr uint64_t uniformFlag = 2;

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
        writer.number((reply.isComplete ? completeFlag : 0) | (reply.uniform ? uniformFlag : 0));
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

    // Daemons of an earlier version also send the only version that they have seen since they started.
    StreamOriginReply readReply(MessageReader& reader)
    {
        StreamOriginReply reply;
        reply.queryId = reader.number();
        reply.recorded = readVersion(reader);
        auto const flags = reader.number();
        reply.isComplete = (flags & completeFlag) != 0;
        reply.withoutRecords = readVersion(reader);
        auto const onlySeen = readVersion(reader);
        if (flags & uniformFlag)
            reply.uniform = onlySeen;
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
