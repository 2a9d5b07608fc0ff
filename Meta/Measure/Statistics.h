#pragma once

#include <string>
#include <vector>

namespace Stagepost::Measure {

// Returns the quantile of the samples for a share from 0 to 1, or 0 if there are no samples.
double quantile(std::vector<double> samples, double share);

// Builds a line of key=value pairs, separated by spaces.
class ResultLine {
public:
    ResultLine& add(std::string const& key, std::string const& value);
    ResultLine& add(std::string const& key, char const* value) { return add(key, std::string(value)); }
    // Writes whole numbers without decimals and all others with three.
    ResultLine& add(std::string const& key, double value);
    std::string const& text() const { return m_line; }
    void print() const;

private:
    std::string m_line;
};

}
