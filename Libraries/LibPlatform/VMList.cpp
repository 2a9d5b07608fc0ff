#include <LibPlatform/VMList.h>

#include <nlohmann/json.hpp>

namespace Stagepost {

namespace {

    using Json = nlohmann::json;

    Result<std::string> readString(Json const& object, char const* key)
    {
        auto const found = object.find(key);
        if (found == object.end() || !found->is_string())
            return Error(ErrorCode::Malformed, std::string("a VM list entry has no string '") + key + "'");
        return found->get<std::string>();
    }

    Result<VMState> parseState(std::string const& text)
    {
        if (text == "live")
            return VMState::Live;
        if (text == "leaving")
            return VMState::Leaving;
        if (text == "gone")
            return VMState::Gone;
        return Error(ErrorCode::Malformed, "unknown VM state '" + text + "'");
    }

    Result<VMRole> parseRole(std::string const& text)
    {
        if (text == "entry")
            return VMRole::Entry;
        if (text == "upstream")
            return VMRole::Upstream;
        return Error(ErrorCode::Malformed, "unknown VM role '" + text + "'");
    }

    Result<VMEntry> parseEntry(Json const& object)
    {
        if (!object.is_object())
            return Error(ErrorCode::Malformed, "a VM list entry is not a JSON object");
        VMEntry entry;
        entry.name = TRY(readString(object, "name"));
        entry.state = TRY(parseState(TRY(readString(object, "state"))));
        if (entry.state == VMState::Gone)
            return entry;
        entry.hall = TRY(readString(object, "hall"));
        entry.role = TRY(parseRole(TRY(readString(object, "role"))));
        entry.endpoint = TRY(Endpoint::parse(TRY(readString(object, "endpoint"))));
        if (entry.role == VMRole::Entry)
            entry.peerEndpoint = TRY(Endpoint::parse(TRY(readString(object, "peer"))));
        else
            entry.serves = TRY(readString(object, "serves"));
        return entry;
    }

}

Result<std::vector<VMEntry>> VMList::apply(std::string_view json)
{
    auto const parsed = Json::parse(json, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("version") || !parsed["version"].is_number_unsigned() || !parsed.contains("vms") || !parsed["vms"].is_array())
        return Error(ErrorCode::Malformed, "the VM list is not a JSON object with a version and a list of VMs");
    std::vector<VMEntry> changed;
    for (auto const& object : parsed["vms"])
        changed.push_back(TRY(parseEntry(object)));
    m_version = parsed["version"].get<uint64_t>();
    for (auto const& entry : changed) {
        if (entry.state == VMState::Gone)
            m_entries.erase(entry.id());
        else
            m_entries[entry.id()] = entry;
    }
    return changed;
}

VMEntry const* VMList::find(VMId id) const
{
    auto const found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

}
