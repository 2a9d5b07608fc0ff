#include <stagepostd/GatewayState.h>

#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>

namespace Stagepost {

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
        state.upstreams.push_back(readUpstreamRecord(reader));
    if (!reader.finished())
        return Error(ErrorCode::Malformed, "another daemon's state is not understood");
    return state;
}

}
