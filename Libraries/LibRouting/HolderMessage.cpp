#include <LibRouting/HolderMessage.h>

#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>
#include <optional>

namespace Stagepost {

namespace {

    // Encoded in front of each message as the index of its variant alternative, so the order is
    // part of the wire format.
    enum class Kind : uint8_t {
        Query,
        Response,
    };

    void write(MessageWriter& writer, HolderQuery const& query)
    {
        writer.number(query.queryId);
        writer.number(query.context);
        writer.id(query.upstream);
    }

    void write(MessageWriter& writer, HolderResponse const& response)
    {
        writer.number(response.queryId);
        writer.number(response.holders.size());
        for (auto const holder : response.holders)
            writer.id(holder);
    }

    HolderQuery readQuery(MessageReader& reader)
    {
        HolderQuery query;
        query.queryId = reader.number();
        query.context = reader.number();
        query.upstream = reader.id<UpstreamId>();
        return query;
    }

    HolderResponse readResponse(MessageReader& reader)
    {
        HolderResponse response;
        response.queryId = reader.number();
        for (auto remaining = reader.count(); remaining && !reader.failed(); --remaining)
            response.holders.push_back(reader.id<UpstreamId>());
        return response;
    }

    std::optional<HolderMessage> readMessage(MessageReader& reader)
    {
        switch (static_cast<Kind>(reader.number())) {
        case Kind::Query:
            return readQuery(reader);
        case Kind::Response:
            return readResponse(reader);
        }
        return {};
    }

}

std::string encodeHolderMessage(HolderMessage const& message)
{
    MessageWriter writer;
    writer.number(message.index());
    std::visit([&writer](auto const& each) { write(writer, each); }, message);
    return writer.release();
}

Result<HolderMessage> decodeHolderMessage(std::string_view bytes)
{
    MessageReader reader(bytes);
    auto const message = readMessage(reader);
    if (!message || !reader.finished())
        return Error { ErrorCode::Malformed, "malformed context holder message" };
    return *message;
}

}
