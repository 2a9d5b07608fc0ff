#include <LibRouting/DetourMessage.h>

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

    void write(MessageWriter& writer, DetourQuery const& query)
    {
        writer.number(query.queryId);
    }

    void write(MessageWriter& writer, DetourResponse const& response)
    {
        writer.number(response.queryId);
        writer.number(response.isAvailable ? 1 : 0);
        writer.number(response.load);
        writer.number(response.others.size());
        for (auto const& hint : response.others) {
            writer.id(hint.daemon);
            writer.duration(hint.age);
            writer.number(hint.load);
        }
    }

    DetourResponse readResponse(MessageReader& reader)
    {
        DetourResponse response;
        response.queryId = reader.number();
        response.isAvailable = reader.number() != 0;
        response.load = reader.number();
        for (auto remaining = reader.count(); remaining && !reader.failed(); --remaining) {
            auto& hint = response.others.emplace_back();
            hint.daemon = reader.id<VMId>();
            hint.age = reader.duration();
            hint.load = reader.number();
        }
        return response;
    }

    std::optional<DetourMessage> readMessage(MessageReader& reader)
    {
        switch (static_cast<Kind>(reader.number())) {
        case Kind::Query:
            return DetourQuery { reader.number() };
        case Kind::Response:
            return readResponse(reader);
        }
        return {};
    }

}

std::string encodeDetourMessage(DetourMessage const& message)
{
    MessageWriter writer;
    writer.number(message.index());
    std::visit([&writer](auto const& each) { write(writer, each); }, message);
    return writer.release();
}

Result<DetourMessage> decodeDetourMessage(std::string_view bytes)
{
    MessageReader reader(bytes);
    auto message = readMessage(reader);
    if (!message || !reader.finished())
        return Error { ErrorCode::Malformed, "malformed detour message" };
    return std::move(*message);
}

}
