#pragma once

#include <LibBase/Hash.h>
#include <compare>
#include <cstdint>
#include <functional>
#include <string_view>

namespace Stagepost {

// A number that names one kind of thing and cannot be mixed up with another
// kind. Ids made from a name are its hash, so they need no table to agree on.
template <typename Tag>
class Id {
public:
    constexpr Id() = default;
    constexpr explicit Id(uint64_t value)
        : m_value(value)
    {
    }

    static Id fromName(std::string_view name) { return Id(hashOf(name)); }

    constexpr uint64_t value() const { return m_value; }
    constexpr bool isNull() const { return !m_value; }
    constexpr auto operator<=>(Id const&) const = default;

private:
    uint64_t m_value { 0 };
};

using VMId = Id<struct VMTag>;
using HallId = Id<struct HallTag>;
using OrganisationId = Id<struct OrganisationTag>;
using UpstreamId = Id<struct UpstreamTag>;
using PoolId = Id<struct PoolTag>;
using ChatId = Id<struct ChatTag>;
using LeaseId = Id<struct LeaseTag>;

// A lease's id names the entry daemon that asked for it in its upper half, and
// is that daemon's count in its lower one, which alone goes over the network.
inline LeaseId makeLeaseId(VMId entry, uint32_t count)
{
    return LeaseId((entry.value() << 32) | count);
}

// The number that a VM's process takes anew at each start. A higher one replaces
// a lower one, so that news of an earlier process can be told from news of this.
using Incarnation = Id<struct IncarnationTag>;

// What makes a caller's request the same one whenever it comes, and wherever.
using RequestFingerprint = Id<struct RequestFingerprintTag>;

// The number of an accepted configuration; it only rises.
using Revision = Id<struct RevisionTag>;

// The place of a record in one stream of the platform's log.
using Offset = Id<struct OffsetTag>;

}

template <typename Tag>
struct std::hash<Stagepost::Id<Tag>> {
    size_t operator()(Stagepost::Id<Tag> const& id) const noexcept { return id.value(); }
};
