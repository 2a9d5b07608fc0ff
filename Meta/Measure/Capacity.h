#pragma once

#include <LibBase/Result.h>
#include <map>
#include <string>
#include <vector>

namespace Stagepost::Measure {

// Results of earlier measurements, read from a file with one line of key=value pairs per result.
class MeasuredResults {
public:
    // Error: NotFound.
    static Result<MeasuredResults> read(std::string const& path);

    // Returns the value of a key from the first line that has this key and all the given pairs, for
    // example {"scenario=steady", "policy=owners"}. Error: NotFound.
    Result<double> value(std::vector<std::string> const& pairs, std::string const& key) const;

private:
    std::vector<std::map<std::string, std::string>> m_lines;
};

// A figure of docs/CAPACITY.md. text() formats it as the page contains it.
struct CapacityRow {
    std::string key;
    double value { 0 };

    std::string text() const;
};

// Computes the figures of docs/CAPACITY.md. Error: NotFound if a result that they depend on is missing.
Result<std::vector<CapacityRow>> capacityRows(MeasuredResults const&);

}
