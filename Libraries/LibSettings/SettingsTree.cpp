#include <LibSettings/SettingsTree.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <toml++/toml.h>

namespace Stagepost {

namespace {

    constexpr std::string_view fleetPath = "fleet";

    struct Root {
        std::string_view name;
        SettingScope scope;
        bool allowsChildren;
    };

    constexpr std::array roots {
        Root { fleetPath, InFleet, false },
        Root { "organisations", InOrganisations, true },
        Root { "pools", InPools, true },
        Root { "services", InServices, true },
    };

    Root const* findRoot(std::string_view path)
    {
        auto const name = path.substr(0, path.find('.'));
        auto const found = std::find_if(roots.begin(), roots.end(), [&](auto const& root) { return root.name == name; });
        return found == roots.end() ? nullptr : &*found;
    }

    std::string childPath(std::string const& path, std::string_view name)
    {
        return path.empty() ? std::string(name) : path + '.' + std::string(name);
    }

    std::optional<SettingValue> readTextList(toml::array const& array)
    {
        TextList list;
        for (auto const& element : array) {
            auto const text = element.value_exact<std::string>();
            if (!text)
                return {};
            list.push_back(*text);
        }
        return list;
    }

    // Converts a node to the type of the setting. Integers are accepted for floating-point settings.
    std::optional<SettingValue> convertValue(SettingRule const& rule, toml::node const& node)
    {
        if (std::holds_alternative<bool>(rule.defaultValue)) {
            if (auto const value = node.value_exact<bool>())
                return *value;
        } else if (std::holds_alternative<int64_t>(rule.defaultValue)) {
            if (auto const value = node.value_exact<int64_t>())
                return *value;
        } else if (std::holds_alternative<double>(rule.defaultValue)) {
            if (node.is_number())
                return node.value<double>();
        } else if (std::holds_alternative<std::string>(rule.defaultValue)) {
            if (auto const value = node.value_exact<std::string>())
                return *value;
        } else if (auto const* array = node.as_array()) {
            return readTextList(*array);
        }
        return {};
    }

    bool isAllowed(SettingRule const& rule, SettingValue const& value)
    {
        if (auto const* whole = std::get_if<int64_t>(&value))
            return static_cast<double>(*whole) >= rule.minimum && static_cast<double>(*whole) <= rule.maximum;
        if (auto const* number = std::get_if<double>(&value))
            return *number >= rule.minimum && *number <= rule.maximum;
        if (auto const* text = std::get_if<std::string>(&value))
            return rule.allowed.empty() || std::find(rule.allowed.begin(), rule.allowed.end(), *text) != rule.allowed.end();
        return true;
    }

    std::string sourceText(toml::node const& node)
    {
        std::ostringstream text;
        node.visit([&](auto const& value) { text << value; });
        return text.str();
    }

}

// Converts TOML tables to a SettingsTree. It collects all problems, so that an operator sees
// them in one run.
class SettingsParser {
public:
    void readTable(toml::table const& table, std::string const& path)
    {
        if (!path.empty())
            m_tree.m_nodes.try_emplace(path);
        for (auto const& [key, node] : table) {
            if (auto const* child = node.as_table())
                readChild(*child, path, key.str());
            else
                readSetting(node, path, key.str());
        }
    }

    Result<SettingsTree> finish()
    {
        if (m_problems.empty())
            return std::move(m_tree);
        return Error(ErrorCode::BadInput, m_problems);
    }

private:
    void readChild(toml::table const& table, std::string const& path, std::string_view name)
    {
        auto const child = childPath(path, name);
        auto const* root = findRoot(child);
        if (!root)
            return addProblem(child, "table", "one of the tables fleet, organisations, pools, services");
        if (!path.empty() && !root->allowsChildren)
            return addProblem(child, "table", "no table under " + path);
        if (name.find('.') != std::string_view::npos || name.empty())
            return addProblem(child, "table", "a name without dots");
        readTable(table, child);
    }

    void readSetting(toml::node const& node, std::string const& path, std::string_view key)
    {
        auto const fullPath = childPath(path, key);
        auto const* rule = findSettingRule(key);
        if (!rule)
            return addProblem(fullPath, sourceText(node), "a known setting; the nearest is " + std::string(closestSettingKey(key)));
        auto const* root = findRoot(path);
        if (!root || !(rule->scopes & root->scope))
            return addProblem(fullPath, sourceText(node), "this setting only under " + scopeNames(*rule));
        auto const value = convertValue(*rule, node);
        if (!value || !isAllowed(*rule, *value))
            return addProblem(fullPath, sourceText(node), describeAllowedValues(*rule));
        m_tree.m_nodes[path].emplace(std::string(key), *value);
    }

    static std::string scopeNames(SettingRule const& rule)
    {
        std::string names;
        for (auto const& root : roots) {
            if (rule.scopes & root.scope)
                names += (names.empty() ? "" : ", ") + std::string(root.name);
        }
        return names;
    }

    void addProblem(std::string const& path, std::string const& value, std::string const& allowed)
    {
        if (!m_problems.empty())
            m_problems += '\n';
        m_problems += path + " = " + value + ": allowed is " + allowed;
    }

    SettingsTree m_tree;
    std::string m_problems;
};

Result<SettingsTree> SettingsTree::parse(std::string_view toml)
{
    try {
        auto const table = toml::parse(toml);
        SettingsParser parser;
        parser.readTable(table, {});
        return parser.finish();
    } catch (toml::parse_error const& failure) {
        std::ostringstream text;
        text << "line " << failure.source().begin.line << ", column " << failure.source().begin.column << ": " << failure.description();
        return Error(ErrorCode::BadInput, text.str());
    }
}

std::optional<ResolvedSetting> SettingsTree::findInherited(std::string_view path, std::string_view key) const
{
    while (true) {
        if (auto const node = m_nodes.find(path); node != m_nodes.end()) {
            if (auto const found = node->second.find(key); found != node->second.end())
                return ResolvedSetting { found->second, std::string(path) };
        }
        auto const dot = path.rfind('.');
        if (dot == std::string_view::npos)
            return {};
        path = path.substr(0, dot);
    }
}

Result<ResolvedSetting> SettingsTree::resolve(std::string_view path, std::string_view key) const
{
    auto const* rule = findSettingRule(key);
    if (!rule)
        return Error(ErrorCode::BadInput, "unknown setting '" + std::string(key) + "'; the nearest is " + std::string(closestSettingKey(key)));
    if (path != fleetPath && m_nodes.find(path) == m_nodes.end())
        return Error(ErrorCode::NotFound, "unknown node '" + std::string(path) + "'");
    if (auto const found = findInherited(path, key))
        return *found;
    if (auto const found = findInherited(fleetPath, key))
        return *found;
    return ResolvedSetting { rule->defaultValue, "default" };
}

std::vector<std::string> SettingsTree::paths() const
{
    std::vector<std::string> result;
    result.reserve(m_nodes.size());
    for (auto const& [path, node] : m_nodes)
        result.push_back(path);
    return result;
}

std::vector<std::string> SettingsTree::leaves(std::string_view root) const
{
    std::vector<std::string> result;
    auto const prefix = std::string(root) + '.';
    for (auto const& [path, node] : m_nodes) {
        if (!path.starts_with(prefix))
            continue;
        auto const hasChild = std::any_of(m_nodes.begin(), m_nodes.end(), [&](auto const& other) { return other.first.starts_with(path + '.'); });
        if (!hasChild)
            result.push_back(path);
    }
    return result;
}

std::vector<std::string> SettingsTree::difference(SettingsTree const& before, SettingsTree const& after)
{
    std::vector<std::string> lines;
    auto const textAt = [](SettingsTree const& tree, std::string const& path, std::string const& key) -> std::string {
        auto const node = tree.m_nodes.find(path);
        if (node == tree.m_nodes.end())
            return "unset";
        auto const found = node->second.find(key);
        return found == node->second.end() ? "unset" : formatSettingValue(found->second);
    };
    std::map<std::string, std::map<std::string, bool>> all;
    for (auto const* tree : { &before, &after }) {
        for (auto const& [path, node] : tree->m_nodes) {
            auto& keys = all[path];
            for (auto const& [key, value] : node)
                keys[key] = true;
        }
    }
    for (auto const& [path, keys] : all) {
        if (before.m_nodes.contains(path) != after.m_nodes.contains(path))
            lines.push_back(path + (after.m_nodes.contains(path) ? ": added" : ": removed"));
        for (auto const& [key, unused] : keys) {
            auto const oldText = textAt(before, path, key);
            auto const newText = textAt(after, path, key);
            if (oldText == newText)
                continue;
            auto line = path;
            line.append(".").append(key).append(": ").append(oldText).append(" -> ").append(newText);
            lines.push_back(std::move(line));
        }
    }
    return lines;
}

}
