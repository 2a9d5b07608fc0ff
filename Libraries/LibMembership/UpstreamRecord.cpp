#include <LibMembership/UpstreamRecord.h>

#include <LibBase/Hash.h>

namespace Stagepost {

uint64_t UpstreamRecord::hash() const
{
    uint64_t result = slots * 2 + (isLeaving ? 1 : 0);
    for (auto const* text : { &instance, &service, &address, &hall })
        result = mixHashes(result, hashOf(*text));
    return result;
}

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

UpstreamRecord readUpstreamRecord(MessageReader& reader)
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
