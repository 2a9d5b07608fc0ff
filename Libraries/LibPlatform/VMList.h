#pragma once

#include <LibBase/Result.h>
#include <LibPlatform/VMEntry.h>
#include <map>
#include <string_view>
#include <vector>

namespace Stagepost {

// The local copy of the platform's list of VMs. It lags behind, so what daemons learn from
// each other takes precedence over it.
class VMList {
public:
    // Applies a response of the platform: {"version":N,"vms":[...]}, with the VMs that changed
    // since the requested version. Returns these VMs. Error: Malformed, in which case the list
    // stays unchanged.
    Result<std::vector<VMEntry>> apply(std::string_view json);

    uint64_t version() const { return m_version; }
    std::map<VMId, VMEntry> const& entries() const { return m_entries; }
    VMEntry const* find(VMId) const;

private:
    uint64_t m_version { 0 };
    std::map<VMId, VMEntry> m_entries;
};

}
