#include <LibProxy/Detail/ControlGroupMemory.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <string>
#include <string_view>

namespace Stagepost {

namespace {

    // A group's directory below the mount point of its hierarchy, and the file with its limit.
    struct MemoryGroup {
        std::filesystem::path mount;
        std::filesystem::path group;
        char const* limitFile;
    };

    bool names(std::string_view controllers, std::string_view wanted)
    {
        while (!controllers.empty()) {
            auto const name = controllers.substr(0, controllers.find(','));
            if (name == wanted)
                return true;
            controllers.remove_prefix(std::min(name.size() + 1, controllers.size()));
        }
        return false;
    }

    // Parses a line of the form "hierarchy:controllers:path". Version 2 names no controllers.
    std::optional<MemoryGroup> parseGroup(std::string_view line)
    {
        auto const first = line.find(':');
        auto const second = first == std::string_view::npos ? first : line.find(':', first + 1);
        if (second == std::string_view::npos)
            return {};
        auto const controllers = line.substr(first + 1, second - first - 1);
        auto const group = std::filesystem::path(line.substr(second + 1)).lexically_normal().relative_path();
        if (controllers.empty())
            return MemoryGroup { "sys/fs/cgroup", group, "memory.max" };
        if (names(controllers, "memory"))
            return MemoryGroup { "sys/fs/cgroup/memory", group, "memory.limit_in_bytes" };
        return {};
    }

    // Empty for "max", or if there is no such file.
    std::optional<uint64_t> readLimit(std::filesystem::path const& file)
    {
        std::ifstream stream(file);
        std::string text;
        uint64_t limit = 0;
        if (!(stream >> text))
            return {};
        auto const [end, failure] = std::from_chars(text.data(), text.data() + text.size(), limit);
        bool const isNumber = failure == std::errc() && end == text.data() + text.size();
        return isNumber && limit ? std::optional(limit) : std::nullopt;
    }

    std::optional<uint64_t> smaller(std::optional<uint64_t> first, std::optional<uint64_t> second)
    {
        if (!first || !second)
            return first ? first : second;
        return std::min(*first, *second);
    }

    // A group is bound by its ancestors as well.
    std::optional<uint64_t> smallestLimit(std::filesystem::path const& root, MemoryGroup const& memory)
    {
        auto const mount = root / memory.mount;
        auto limit = readLimit(mount / memory.limitFile);
        auto directory = mount;
        for (auto const& part : memory.group) {
            directory /= part;
            limit = smaller(limit, readLimit(directory / memory.limitFile));
        }
        return limit;
    }

}

std::optional<uint64_t> controlGroupMemoryLimit(std::filesystem::path const& root)
{
    std::ifstream groups(root / "proc/self/cgroup");
    std::optional<uint64_t> limit;
    for (std::string line; std::getline(groups, line);) {
        if (auto const group = parseGroup(line))
            limit = smaller(limit, smallestLimit(root, *group));
    }
    return limit;
}

}
