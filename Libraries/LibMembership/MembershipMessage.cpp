#include <LibMembership/MembershipMessage.h>

#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>

namespace Stagepost {

namespace {

    // Ages of halls are sent in tenths of a second; no more precision is needed.
    constexpr Microseconds ageUnit { 100000 };

    void write(MessageWriter& writer, MemberUpdate const& update)
    {
        writer.id(update.member);
        writer.id(update.hall);
        writer.id(update.incarnation);
        writer.number(update.version);
        writer.number(static_cast<uint64_t>(update.state));
    }

    bool readMember(MessageReader& reader, MemberUpdate& update)
    {
        update.member = reader.id<VMId>();
        update.hall = reader.id<HallId>();
        update.incarnation = reader.id<Incarnation>();
        update.version = reader.number();
        auto const state = reader.number();
        update.state = static_cast<MemberState>(state);
        return !reader.failed() && state <= static_cast<uint64_t>(MemberState::Dead);
    }

    bool readUpstream(MessageReader& reader, UpstreamUpdate& update)
    {
        update.upstream = reader.id<UpstreamId>();
        update.listVersion = reader.number();
        auto const state = reader.number();
        update.state = static_cast<UpstreamState>(state);
        return !reader.failed() && state <= static_cast<uint64_t>(UpstreamState::Gone);
    }

    template <typename Entry, typename Read>
    bool readList(MessageReader& reader, std::vector<Entry>& list, Read readEntry)
    {
        auto const count = reader.count();
        for (size_t index = 0; index < count; ++index) {
            if (!readEntry(reader, list.emplace_back()))
                return false;
        }
        return !reader.failed();
    }

}

std::string MembershipMessage::encode() const
{
    MessageWriter writer;
    writer.number(static_cast<uint64_t>(kind));
    writer.number(sequence);
    writer.id(target);
    write(writer, sender);
    writer.id(revision);
    writer.number(hallAges.size());
    for (auto const& [hall, age] : hallAges) {
        writer.id(hall);
        writer.number(static_cast<uint64_t>(age / ageUnit));
    }
    writer.number(members.size());
    for (auto const& update : members)
        write(writer, update);
    writer.number(upstreams.size());
    for (auto const& update : upstreams) {
        writer.id(update.upstream);
        writer.number(update.listVersion);
        writer.number(static_cast<uint64_t>(update.state));
    }
    return writer.release();
}

Result<MembershipMessage> MembershipMessage::decode(std::string_view bytes)
{
    auto const malformed = Error(ErrorCode::Malformed, "invalid membership message");
    MessageReader reader(bytes);
    MembershipMessage message;
    auto const kind = reader.number();
    if (reader.failed() || kind > static_cast<uint64_t>(Kind::PingRequest))
        return malformed;
    message.kind = static_cast<Kind>(kind);
    message.sequence = reader.number();
    message.target = reader.id<VMId>();
    if (!readMember(reader, message.sender))
        return malformed;
    message.revision = reader.id<Revision>();
    auto const readAge = [](MessageReader& from, std::pair<HallId, Microseconds>& entry) {
        entry.first = from.id<HallId>();
        auto const tenths = from.number();
        entry.second = ageUnit * static_cast<int64_t>(std::min<uint64_t>(tenths, 1u << 20));
        return !from.failed();
    };
    if (!readList(reader, message.hallAges, readAge) || !readList(reader, message.members, readMember) || !readList(reader, message.upstreams, readUpstream))
        return malformed;
    if (!reader.finished())
        return malformed;
    return message;
}

}
