#include <LibRouting/TrialMessage.h>

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
        End,
    };

    void write(MessageWriter& writer, TrialQuery const& query)
    {
        writer.number(query.trial);
        writer.id(query.subject);
    }

    void write(MessageWriter& writer, TrialResponse const& response)
    {
        writer.number(response.trial);
        writer.number(response.isGranted ? 1 : 0);
    }

    void write(MessageWriter& writer, TrialEnd const& end)
    {
        writer.number(end.trial);
        writer.id(end.subject);
        writer.number(static_cast<uint64_t>(end.outcome));
    }

    TrialQuery readQuery(MessageReader& reader)
    {
        TrialQuery query;
        query.trial = reader.number();
        query.subject = reader.id<Fingerprint>();
        return query;
    }

    TrialResponse readResponse(MessageReader& reader)
    {
        TrialResponse response;
        response.trial = reader.number();
        response.isGranted = reader.number() != 0;
        return response;
    }

    TrialEnd readEnd(MessageReader& reader)
    {
        TrialEnd end;
        end.trial = reader.number();
        end.subject = reader.id<Fingerprint>();
        auto const outcome = reader.number();
        if (outcome > static_cast<uint64_t>(TrialOutcome::Broken))
            reader.fail();
        else
            end.outcome = static_cast<TrialOutcome>(outcome);
        return end;
    }

    std::optional<TrialMessage> readMessage(MessageReader& reader)
    {
        switch (static_cast<Kind>(reader.number())) {
        case Kind::Query:
            return readQuery(reader);
        case Kind::Response:
            return readResponse(reader);
        case Kind::End:
            return readEnd(reader);
        }
        return {};
    }

}

std::string encodeTrialMessage(TrialMessage const& message)
{
    MessageWriter writer;
    writer.number(message.index());
    std::visit([&writer](auto const& each) { write(writer, each); }, message);
    return writer.release();
}

Result<TrialMessage> decodeTrialMessage(std::string_view bytes)
{
    MessageReader reader(bytes);
    auto const message = readMessage(reader);
    if (!message || !reader.finished())
        return Error { ErrorCode::Malformed, "malformed trial message" };
    return *message;
}

}
