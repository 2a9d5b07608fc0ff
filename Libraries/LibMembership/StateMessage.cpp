#include <LibMembership/StateMessage.h>

#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>
#include <LibMembership/UpstreamRecordRules.h>

namespace Stagepost {

namespace {

    void write(MessageWriter& writer, std::vector<RegistryRecord> const& records)
    {
        writer.number(records.size());
        for (auto const& record : records) {
            writer.text(record.name);
            writer.number(record.text ? 1 : 0);
            if (record.text)
                writer.text(*record.text);
        }
    }

    void write(MessageWriter& writer, EmptiedHallsState const& emptied)
    {
        writer.number(emptied.position);
        writer.number(emptied.halls.size());
        for (auto const& hall : emptied.halls)
            writer.text(hall);
    }

    EmptiedHallsState readEmptiedHalls(MessageReader& reader)
    {
        EmptiedHallsState emptied;
        emptied.position = reader.number();
        auto const count = reader.count();
        for (size_t index = 0; index < count && !reader.failed(); ++index)
            emptied.halls.insert(reader.text());
        return emptied;
    }

    // Responses have no requests in flight, and daemons that don't know of the age ignore what stands in
    // their place.
    std::string encodeAge(std::optional<Microseconds> age)
    {
        if (!age)
            return {};
        MessageWriter writer;
        writer.duration(*age);
        return writer.release();
    }

    std::optional<Microseconds> decodeAge(std::string const& text)
    {
        MessageReader reader(text);
        auto const age = reader.duration();
        return reader.finished() ? std::optional(age) : std::nullopt;
    }

    std::vector<RegistryRecord> readRegistryRecords(MessageReader& reader)
    {
        std::vector<RegistryRecord> records;
        auto const count = reader.count();
        for (size_t index = 0; index < count && !reader.failed(); ++index) {
            auto& record = records.emplace_back();
            record.name = reader.text();
            if (reader.number())
                record.text = reader.text();
        }
        return records;
    }

}

std::string StateMessage::encode() const
{
    MessageWriter writer;
    writer.number(static_cast<uint64_t>(kind));
    writer.number(querySentAt);
    writer.number(requesterProcess);
    writer.number(summary.settingsVersion);
    writer.number(summary.upstreamsHash);
    writer.number(summary.registryVersion);
    writer.text(kind == Kind::Response ? encodeAge(registryAge) : inFlight);
    writer.duration(inFlightAge);
    writer.number(upstreamChanges.size());
    for (auto const& change : upstreamChanges) {
        writer.text(change.instance);
        writer.number(change.record ? 1 : 0);
        if (change.record)
            Stagepost::write(writer, *change.record);
    }
    writer.number(registryChanges ? 1 : 0);
    if (registryChanges)
        write(writer, *registryChanges);
    if (emptiedHalls)
        write(writer, *emptiedHalls);
    if (emptiedHalls && rollouts)
        Stagepost::write(writer, *rollouts);
    return writer.release();
}

Result<StateMessage> StateMessage::decode(std::string_view bytes)
{
    MessageReader reader(bytes);
    StateMessage message;
    auto const kind = reader.number();
    message.kind = static_cast<Kind>(kind);
    message.querySentAt = reader.number();
    message.requesterProcess = reader.number();
    message.summary.settingsVersion = reader.number();
    message.summary.upstreamsHash = reader.number();
    message.summary.registryVersion = reader.number();
    if (message.kind == Kind::Response)
        message.registryAge = decodeAge(reader.text());
    else
        message.inFlight = reader.text();
    message.inFlightAge = reader.duration();
    auto const changeCount = reader.count();
    for (size_t index = 0; index < changeCount && !reader.failed(); ++index) {
        auto& change = message.upstreamChanges.emplace_back();
        change.instance = reader.text();
        if (!reader.number())
            continue;
        // As in the store, an invalid record counts as removed. A daemon of an earlier version may have passed it on.
        if (auto record = readUpstreamRecord(reader); checkUpstreamRecord(record))
            change.record = std::move(record);
    }
    if (reader.number())
        message.registryChanges = readRegistryRecords(reader);
    if (!reader.finished())
        message.emptiedHalls = readEmptiedHalls(reader);
    if (!reader.finished())
        message.rollouts = readRolloutStates(reader);
    if (!reader.finished() || kind > static_cast<uint64_t>(Kind::Unavailable))
        return Error(ErrorCode::Malformed, "invalid state message");
    return message;
}

}
