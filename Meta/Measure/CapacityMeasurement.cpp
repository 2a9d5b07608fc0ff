#include <Measure/Measurements.h>

#include <Measure/Capacity.h>
#include <Measure/Statistics.h>
#include <fstream>
#include <iostream>
#include <iterator>

namespace Stagepost::Measure {

// Computes the figures of the capacity page from measured results and prints them. With --check PAGE,
// fails if the page lacks one of them.
int measureCapacity(Arguments const& arguments)
{
    auto const path = arguments.text("figures", "docs/figures/measured.txt");
    auto const results = MeasuredResults::read(path);
    if (!results) {
        std::cerr << "measure capacity: " << results.error().detail << '\n';
        return 1;
    }
    auto const rows = capacityRows(*results);
    if (!rows) {
        std::cerr << "measure capacity: " << rows.error().detail << '\n';
        return 1;
    }
    std::string page;
    auto const pagePath = arguments.text("check", "");
    if (!pagePath.empty()) {
        std::ifstream file(pagePath);
        page.assign(std::istreambuf_iterator<char>(file), {});
    }
    int missing = 0;
    for (auto const& row : *rows) {
        auto const text = row.text();
        std::cout << text << '\n';
        if (!pagePath.empty() && page.find(text) == std::string::npos) {
            std::cerr << pagePath << " does not contain: " << text << '\n';
            ++missing;
        }
    }
    return missing ? 1 : 0;
}

}
