#include <stagepostd/GatewayState.h>

#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>
#include <LibMembership/UpstreamRecordRules.h>

namespace Stagepost {

std::string GatewayState::encode() const
{
    MessageWriter writer;
    writer.number(settings.version);
    writer.number(settings.base);
    writer.number(settings.position);
    writer.number(settings.steps.size());
    for (auto const& step : settings.steps) {
        writer.number(step.version);
        writer.text(step.delta);
    }
    writer.number(upstreamsHash);
    writer.number(upstreams ? 1 : 0);
    writer.number(upstreams ? upstreams->size() : 0);
    if (upstreams) {
        for (auto const& record : *upstreams)
            write(writer, record);
    }
    return writer.release();
}

Result<GatewayState> GatewayState::decode(std::string_view bytes)
{
    MessageReader reader(bytes);
    GatewayState state;
    state.settings.version = reader.number();
    state.settings.base = reader.number();
    state.settings.position = reader.number();
    auto const steps = reader.count();
    for (size_t index = 0; index < steps && !reader.failed(); ++index) {
        auto const version = reader.number();
        state.settings.steps.push_back({ version, reader.text() });
    }
    state.upstreamsHash = reader.number();
    bool const hasUpstreams = reader.number() != 0;
    auto const count = reader.count();
    std::vector<UpstreamRecord> upstreams;
    for (size_t index = 0; index < count && !reader.failed(); ++index) {
        // A daemon of an earlier version may pass on a record that is invalid here.
        if (auto record = readUpstreamRecord(reader); checkUpstreamRecord(record))
            upstreams.push_back(std::move(record));
    }
    if (!reader.finished())
        return Error(ErrorCode::Malformed, "malformed gateway state");
    if (hasUpstreams)
        state.upstreams = std::move(upstreams);
    return state;
}

}
