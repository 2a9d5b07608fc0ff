#pragma once

#include <LibBase/Result.h>
#include <LibSettings/Schema.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Stagepost {

// The value of a setting with the path of the node that sets it, or "default" if none does.
struct ResolvedSetting {
    SettingValue value;
    std::string from;
};

// The tree of settings, parsed from the TOML text that operators write. Each table is a node,
// which inherits every setting that it doesn't set from its nearest ancestor that does, and
// after those from the table [fleet].
class SettingsTree {
public:
    // Error: BadInput with one line for each problem, which names the path, the value and the
    // allowed values. A syntax error is reported alone, with its line and column.
    static Result<SettingsTree> parse(std::string_view toml);

    // The value of a key at a node, for example "organisations.clubs.north".
    // Errors: NotFound for an unknown node, BadInput for an unknown key.
    Result<ResolvedSetting> resolve(std::string_view path, std::string_view key) const;

    // The paths of all nodes, in lexicographic order.
    std::vector<std::string> paths() const;
    // The paths of the leaf nodes under a root, for example "organisations".
    std::vector<std::string> leaves(std::string_view root) const;

    // The differences between two trees: "path: added", "path: removed", or "path.key: old -> new"
    // for each setting.
    static std::vector<std::string> difference(SettingsTree const& before, SettingsTree const& after);

private:
    using Node = std::map<std::string, SettingValue, std::less<>>;
    friend class SettingsParser;
    std::optional<ResolvedSetting> findInherited(std::string_view path, std::string_view key) const;

    std::map<std::string, Node, std::less<>> m_nodes;
};

}
