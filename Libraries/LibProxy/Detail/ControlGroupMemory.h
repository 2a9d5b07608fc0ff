#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>

namespace Stagepost {

// Returns the smallest memory limit of this process's control group and its ancestors, in bytes; empty if none of them
// sets one, or where the system does not tell. Reads proc/self/cgroup and sys/fs/cgroup, versions 1 and 2, below the
// given root.
std::optional<uint64_t> controlGroupMemoryLimit(std::filesystem::path const& root);

}
