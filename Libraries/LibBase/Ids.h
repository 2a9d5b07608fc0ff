#pragma once

#include <LibBase/Hash.h>
#include <compare>
#include <cstdint>
#include <functional>
#include <string_view>

namespace Stagepost {

// A strongly typed id: ids of different tags do not convert into each other. An id made
// from a name is its hash, so all processes derive the same id without a shared table.
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

// Combines the low 32 bits of the requesting entry daemon's id (upper half) with a sequence
// number of that daemon (lower half). Only the sequence number is sent over the network.
inline LeaseId makeLeaseId(VMId entry, uint32_t sequence)
{
    return LeaseId((entry.value() << 32) | sequence);
}

// Identifies one run of the process on a VM. It is higher after each restart, so that
// messages about an earlier run can be recognized as outdated.
using Incarnation = Id<struct IncarnationTag>;

// A keyed hash over the contents of a request, or over a part of the prompts that a service gets. Equal on
// all daemons; see FingerprintKey.
using Fingerprint = Id<struct FingerprintTag>;

// A version of the software that upstreams run.
using VersionId = Id<struct VersionTag>;

// A caller's stream, over all attempts that continue it.
using StreamId = Id<struct StreamTag>;

// The version number of an accepted configuration. It only increases.
using Revision = Id<struct RevisionTag>;

// The position of a record in a stream of the platform's log.
using Offset = Id<struct OffsetTag>;

}

template <typename Tag>
struct std::hash<Stagepost::Id<Tag>> {
    size_t operator()(Stagepost::Id<Tag> const& id) const noexcept { return id.value(); }
};
