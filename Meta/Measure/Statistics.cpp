#include <Measure/Statistics.h>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <sstream>

namespace Stagepost::Measure {

double quantile(std::vector<double> samples, double share)
{
    if (samples.empty())
        return 0;
    auto const index = std::min(samples.size() - 1, static_cast<size_t>(share * static_cast<double>(samples.size())));
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(index), samples.end());
    return samples[index];
}

ResultLine& ResultLine::add(std::string const& key, std::string const& value)
{
    m_line += (m_line.empty() ? "" : " ") + key + '=' + value;
    return *this;
}

ResultLine& ResultLine::add(std::string const& key, double value)
{
    std::ostringstream text;
    text.setf(std::ios::fixed);
    bool const isWhole = std::abs(value - std::round(value)) < 0.0005;
    text.precision(isWhole ? 0 : 3);
    text << value;
    return add(key, text.str());
}

void ResultLine::print() const
{
    std::cout << m_line << std::endl;
}

}
