#pragma once

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Stagepost {

using TextList = std::vector<std::string>;
using SettingValue = std::variant<bool, int64_t, double, std::string, TextList>;

// The tables of the tree in which a setting is allowed, as bit flags.
enum SettingScope : unsigned {
    InFleet = 1,
    InOrganisations = 2,
    InPools = 4,
    InServices = 8,
};

// The schema of one setting. The type of the default is the type of the setting. The bounds
// apply to numbers, the list of allowed values to text (empty: any text).
struct SettingRule {
    std::string_view key;
    unsigned scopes;
    SettingValue defaultValue;
    double minimum { 0 };
    double maximum { 0 };
    TextList allowed;
    std::string_view description;
};

std::span<SettingRule const> settingRules();
SettingRule const* findSettingRule(std::string_view key);

// The known key with the smallest edit distance to a misspelt one.
std::string_view closestSettingKey(std::string_view key);

// A description of the allowed values for error messages and the reference page, for example
// "a number from 1 to 10".
std::string describeAllowedValues(SettingRule const&);

// The value in the syntax in which operators write it.
std::string formatSettingValue(SettingValue const&);

}
