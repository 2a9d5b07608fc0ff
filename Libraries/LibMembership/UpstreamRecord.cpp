#include <LibMembership/UpstreamRecord.h>

#include <LibBase/Hash.h>

namespace Stagepost {

namespace {

    // Bits of the flags field.
    constexpr uint64_t leavingFlag = 1;
    constexpr uint64_t incarnationFlag = 2;
    // The version follows as a text.
    constexpr uint64_t longVersionFlag = 4;
    // The bytes of the flags field above the lowest contain a short version, as daemons that don't
    // know of versions ignore them. They would take a further element for the next record.
    constexpr size_t maxShortVersion = 7;
    constexpr unsigned bitsPerByte = 8;
    // Distinguishes a version from an incarnation in the hash.
    constexpr uint64_t versionHashSalt = 0x76657273;
    // Mixed into the hash of a cold upstream's record.
    constexpr uint64_t coldHashSalt = 0x636f6c64;

    // A version with a zero byte could not be unpacked.
    bool isShort(std::string const& version)
    {
        return version.size() <= maxShortVersion && version.find('\0') == std::string::npos;
    }

    uint64_t packVersion(std::string const& version)
    {
        uint64_t packed = 0;
        for (size_t index = 0; index < version.size(); ++index)
            packed |= static_cast<uint64_t>(static_cast<unsigned char>(version[index])) << (bitsPerByte * (index + 1));
        return packed;
    }

    std::string unpackVersion(uint64_t flags)
    {
        std::string version;
        for (auto rest = flags >> bitsPerByte; rest & 0xff; rest >>= bitsPerByte)
            version.push_back(static_cast<char>(rest & 0xff));
        return version;
    }

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
    if (!incarnation.isNull())
        result = mixHashes(result, incarnation.value());
    return version.empty() ? result : mixHashes(result, hashOf(version, versionHashSalt));
}

void write(MessageWriter& writer, UpstreamRecord const& record)
{
    writer.text(record.instance);
    writer.text(record.service);
    writer.text(record.address);
    writer.text(record.hall);
    writer.number(record.slots);
    auto const versionBits = isShort(record.version) ? packVersion(record.version) : longVersionFlag;
    writer.number((record.isLeaving ? leavingFlag : 0) | (record.incarnation.isNull() ? 0 : incarnationFlag) | versionBits);
    writer.duration(record.coldLeft);
    if (!record.incarnation.isNull())
        writer.id(record.incarnation);
    if (!isShort(record.version))
        writer.text(record.version);
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
    record.version = flags & longVersionFlag ? reader.text() : unpackVersion(flags);
    return record;
}

std::vector<UpstreamRecord> recordsOf(std::vector<UpstreamChange> const& changes)
{
    std::vector<UpstreamRecord> records;
    for (auto const& change : changes) {
        if (change.record)
            records.push_back(*change.record);
    }
    return records;
}

}
