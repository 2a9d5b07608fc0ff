#include <LibRouting/HolderMessage.h>

#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>
#include <optional>

namespace Stagepost {

namespace {

    // The order is the wire's: an alternative's number stands before it.
    enum class Kind : uint8_t {
        Ask,
        Answer,
    };

    void write(MessageWriter& writer, HolderAsk const& ask)
    {
        writer.number(ask.number);
        writer.number(ask.context);
        writer.id(ask.upstream);
    }

    void write(MessageWriter& writer, HolderAnswer const& answer)
    {
        writer.number(answer.number);
        writer.number(answer.holders.size());
        for (auto const holder : answer.holders)
            writer.id(holder);
    }

    HolderAsk readAsk(MessageReader& reader)
    {
        HolderAsk ask;
        ask.number = reader.number();
        ask.context = reader.number();
        ask.upstream = reader.id<UpstreamId>();
        return ask;
    }

    HolderAnswer readAnswer(MessageReader& reader)
    {
        HolderAnswer answer;
        answer.number = reader.number();
        for (auto left = reader.count(); left && !reader.failed(); --left)
            answer.holders.push_back(reader.id<UpstreamId>());
        return answer;
    }

    std::optional<HolderMessage> readMessage(MessageReader& reader)
    {
        switch (static_cast<Kind>(reader.number())) {
        case Kind::Ask:
            return readAsk(reader);
        case Kind::Answer:
            return readAnswer(reader);
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
        return Error { ErrorCode::Malformed, "not a message about who holds a context" };
    return *message;
}

}
