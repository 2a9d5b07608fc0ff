#include <stagepostd/GatewayState.h>

#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>

namespace Stagepost {

namespace {

    void write(MessageWriter& writer, UpstreamRecord const& record)
    {
        writer.text(record.instance);
        writer.text(record.service);
        writer.text(record.address);
        writer.text(record.hall);
        writer.number(record.slots);
        writer.number(record.isLeaving ? 1 : 0);
        writer.duration(record.coldLeft);
    }

    UpstreamRecord read(MessageReader& reader)
    {
        UpstreamRecord record;
        record.instance = reader.text();
        record.service = reader.text();
        record.address = reader.text();
        record.hall = reader.text();
        record.slots = reader.number();
        record.isLeaving = reader.number() != 0;
        record.coldLeft = std::chrono::duration_cast<Milliseconds>(reader.duration());
        return record;
    }

}

std::string GatewayState::encode() const
{
    MessageWriter writer;
    writer.number(settingsVersion);
    writer.text(settingsText);
    writer.number(upstreams.size());
    for (auto const& record : upstreams)
        write(writer, record);
    return writer.release();
}

Result<GatewayState> GatewayState::decode(std::string_view bytes)
{
    MessageReader reader(bytes);
    GatewayState state;
    state.settingsVersion = reader.number();
    state.settingsText = reader.text();
    auto const count = reader.count();
    for (size_t index = 0; index < count && !reader.failed(); ++index)
        state.upstreams.push_back(read(reader));
    if (!reader.finished())
        return Error(ErrorCode::Malformed, "another daemon's state is not understood");
    return state;
}

}
