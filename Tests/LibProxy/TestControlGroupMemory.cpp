#include <LibProxy/ClientLimits.h>
#include <LibProxy/Detail/ControlGroupMemory.h>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <unistd.h>

using namespace Stagepost;

namespace {

constexpr uint64_t megabyte = 1u << 20;

// A folder with the files that tell a process's control groups.
struct Root {
    Root()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "stagepost-XXXXXX").string();
        BOOST_REQUIRE(::mkdtemp(pattern.data()));
        path = pattern;
    }

    ~Root() { std::filesystem::remove_all(path); }

    Root(Root const&) = delete;
    Root& operator=(Root const&) = delete;

    void write(std::filesystem::path const& file, std::string const& text) const
    {
        std::filesystem::create_directories((path / file).parent_path());
        std::ofstream(path / file) << text;
    }

    std::optional<uint64_t> limit() const { return controlGroupMemoryLimit(path); }

    std::filesystem::path path;
};

}

BOOST_AUTO_TEST_SUITE(ControlGroupMemoryTests)

// Guards against a process that takes two fifths of the machine's memory for its clients although its unit has less.
BOOST_AUTO_TEST_CASE(TheLimitOfTheGroupCounts)
{
    Root const root;
    root.write("proc/self/cgroup", "0::/system.slice/entry.service\n");
    root.write("sys/fs/cgroup/system.slice/entry.service/memory.max", "67108864\n");
    BOOST_TEST(root.limit().value_or(0) == 64 * megabyte);
}

BOOST_AUTO_TEST_CASE(TheSmallestLimitOfAllAncestorsCounts)
{
    Root const root;
    root.write("proc/self/cgroup", "0::/pod/entry\n");
    root.write("sys/fs/cgroup/pod/entry/memory.max", "max\n");
    root.write("sys/fs/cgroup/pod/memory.max", "134217728\n");
    root.write("sys/fs/cgroup/memory.max", "268435456\n");
    BOOST_TEST(root.limit().value_or(0) == 128 * megabyte);
}

BOOST_AUTO_TEST_CASE(TheOlderVersionIsRead)
{
    Root const root;
    root.write("proc/self/cgroup", "12:cpu,cpuacct:/a\n5:hugetlb,memory:/a/b\n0::/a\n");
    root.write("sys/fs/cgroup/memory/a/b/memory.limit_in_bytes", "100663296\n");
    root.write("sys/fs/cgroup/memory/a/memory.limit_in_bytes", "9223372036854771712\n");
    BOOST_TEST(root.limit().value_or(0) == 96 * megabyte);
}

BOOST_AUTO_TEST_CASE(WithoutALimitNothingIsTold)
{
    Root const root;
    BOOST_TEST(!root.limit());
    root.write("proc/self/cgroup", "odd\n0::/a\n:\n");
    BOOST_TEST(!root.limit());
    for (auto const* text : { "max\n", "", "0\n", "-1\n", "lots\n" }) {
        root.write("sys/fs/cgroup/a/memory.max", text);
        BOOST_TEST(!root.limit());
    }
}

BOOST_AUTO_TEST_CASE(TheGroupIsLookedUpBelowTheMountPointOnly)
{
    Root const root;
    root.write("proc/self/cgroup", "0::/../../outside\n");
    root.write("sys/fs/outside/memory.max", "1\n");
    root.write("sys/fs/cgroup/memory.max", "67108864\n");
    BOOST_TEST(root.limit().value_or(0) == 64 * megabyte);
}

BOOST_AUTO_TEST_CASE(TheMachineIsNotLargerThanTheGroup)
{
    Root const root;
    auto const whole = Machine::current(root.path).memory;
    BOOST_TEST(whole > 64 * megabyte);
    root.write("proc/self/cgroup", "0::/\n");
    root.write("sys/fs/cgroup/memory.max", "67108864\n");
    BOOST_TEST(Machine::current(root.path).memory == 64 * megabyte);
    root.write("sys/fs/cgroup/memory.max", "9223372036854771712\n");
    BOOST_TEST(Machine::current(root.path).memory == whole);
}

BOOST_AUTO_TEST_SUITE_END()
