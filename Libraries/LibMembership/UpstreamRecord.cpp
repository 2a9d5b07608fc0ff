#include <LibMembership/UpstreamRecord.h>

#include <LibBase/Hash.h>

namespace Stagepost {

namespace {

    // Bits of the flags field.
    constexpr uint64_t leavingFlag = 1;
    constexpr uint64_t incarnationFlag = 2;
    // Mixed into the hash of a cold upstream's record.
    constexpr uint64_t coldHashSalt = 0x636f6c64;

}

UpstreamId UpstreamRecord::id() const
{
    auto const name = UpstreamId::fromName(instance);
    return incarnation.isNull() ? name : UpstreamId(mixHashes(name.value(), incarnation.value()));
}

uint64_t UpstreamRecord::hash() const
{
    uint64_t result = slots * 2 + (isLeaving ? 1 : 0);
    if (coldLeft.count())
        result = mixHashes(result, coldHashSalt);
    for (auto const* text : { &instance, &service, &address, &hall })
        result = mixHashes(result, hashOf(*text));
    return incarnation.isNull() ? result : mixHashes(result, incarnation.value());
}

void write(MessageWriter& writer, UpstreamRecord const& record)
{
    writer.text(record.instance);
    writer.text(record.service);
    writer.text(record.address);
    writer.text(record.hall);
    writer.number(record.slots);
    writer.number((record.isLeaving ? leavingFlag : 0) | (record.incarnation.isNull() ? 0 : incarnationFlag));
    writer.duration(record.coldLeft);
    if (!record.incarnation.isNull())
        writer.id(record.incarnation);
}

UpstreamRecord readUpstreamRecord(MessageReader& reader)
{
    UpstreamRecord record;
    record.instance = reader.text();
    record.service = reader.text();
    record.address = reader.text();
    record.hall = reader.text();
    record.slots = reader.number();
    auto const flags = reader.number();
    record.isLeaving = (flags & leavingFlag) != 0;
    record.coldLeft = std::chrono::duration_cast<Milliseconds>(reader.duration());
    if (flags & incarnationFlag)
        record.incarnation = reader.id<Incarnation>();
    return record;
}

}
