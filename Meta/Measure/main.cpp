#include <Measure/Measurements.h>
#include <iostream>
#include <map>

int main(int argc, char** argv)
{
    using namespace Stagepost::Measure;
    std::map<std::string, int (*)(Arguments const&)> const measurements {
        { "proxy", measureProxy },
        { "placement", measurePlacement },
        { "once", measureOnce },
        { "membership", measureMembership },
        { "settings", measureSettings },
        { "in-force", measureInForce },
        { "capacity", measureCapacity },
    };
    auto const found = measurements.find(argc > 1 ? argv[1] : "");
    if (found == measurements.end()) {
        std::cerr << "usage: stagepost-measure";
        for (auto const& [name, function] : measurements)
            std::cerr << ' ' << name;
        std::cerr << " [--quick]\n";
        return 2;
    }
    return found->second(Arguments(argc, argv));
}
