#include <stagepostctl/Commands.h>

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stagepostctl/FleetConnection.h>

namespace Stagepost {

namespace {

    using Json = nlohmann::json;

    Result<void> requireFleetFlags(CommandLine const& line)
    {
        if (!line.vmList)
            return Error(ErrorCode::BadInput, "--vm-list (or STAGEPOST_VM_LIST) is missing");
        if (line.operatorToken.empty())
            return Error(ErrorCode::BadInput, "--operator-token (or STAGEPOST_OPERATOR_TOKEN) is missing");
        return {};
    }

    // Prints the members of a JSON object as key=value pairs on one line.
    void printRow(Json const& row)
    {
        bool isFirst = true;
        for (auto const& [key, value] : row.items()) {
            std::cout << (isFirst ? "" : " ") << key << '=' << (value.is_string() ? value.get<std::string>() : value.dump());
            isFirst = false;
        }
        std::cout << '\n';
    }

    Result<VMEntry> findVM(FleetConnection& fleet, std::string const& name)
    {
        auto const vms = TRY(fleet.entryVMs());
        auto const found = std::find_if(vms.begin(), vms.end(), [&](auto const& vm) { return vm.name == name; });
        if (found == vms.end())
            return Error(ErrorCode::NotFound, "the VM list contains no entry VM named " + name);
        return *found;
    }

    ExitCode callNamedVM(CommandLine const& line, std::string const& method)
    {
        if (auto const flags = requireFleetFlags(line); !flags)
            return fail(flags.error());
        if (line.arguments.size() != 1)
            return fail(Error(ErrorCode::BadInput, line.command + " requires exactly one VM name"));
        EventLoop loop;
        FleetConnection fleet(loop, *line.vmList, line.operatorToken);
        auto const vm = findVM(fleet, line.arguments.front());
        if (!vm)
            return fail(vm.error());
        auto const result = fleet.call(*vm, method);
        if (!result)
            return fail(result.error());
        if (line.wantsJson)
            std::cout << *result << '\n';
        else
            printRow(Json::parse(*result));
        return ExitCode::Done;
    }

}

ExitCode showStatus(CommandLine const& line)
{
    if (auto const flags = requireFleetFlags(line); !flags)
        return fail(flags.error());
    EventLoop loop;
    FleetConnection fleet(loop, *line.vmList, line.operatorToken);
    auto const vms = fleet.entryVMs();
    if (!vms)
        return fail(vms.error());
    Json rows = Json::array();
    bool areAllReachable = true;
    for (auto const& vm : *vms) {
        auto const status = fleet.call(vm, "status");
        areAllReachable = areAllReachable && status;
        rows.push_back(status ? Json::parse(*status) : Json { { "name", vm.name }, { "hall", vm.hall }, { "error", status.error().message() } });
        if (!line.wantsJson)
            printRow(rows.back());
    }
    if (line.wantsJson)
        std::cout << rows.dump() << '\n';
    return areAllReachable ? ExitCode::Done : ExitCode::Failed;
}

ExitCode drainVM(CommandLine const& line)
{
    return callNamedVM(line, "drain");
}

ExitCode undrainVM(CommandLine const& line)
{
    return callNamedVM(line, "undrain");
}

// Queries every daemon and merges the replies, because only the owner of an upstream reports
// its load. The order of the rows is that of the first daemon with a result.
ExitCode explainChat(CommandLine const& line)
{
    if (auto const flags = requireFleetFlags(line); !flags)
        return fail(flags.error());
    if (line.arguments.size() != 3)
        return fail(Error(ErrorCode::BadInput, "explain requires the arguments MODEL ORGANISATION CHAT"));
    EventLoop loop;
    FleetConnection fleet(loop, *line.vmList, line.operatorToken);
    auto const vms = fleet.entryVMs();
    if (!vms)
        return fail(vms.error());
    auto const parameters = Json { { "model", line.arguments[0] }, { "organisation", line.arguments[1] }, { "chat", line.arguments[2] } }.dump();
    Json merged = Json::array();
    for (auto const& vm : *vms) {
        auto const rows = fleet.call(vm, "explain", parameters);
        if (!rows)
            continue;
        auto const parsed = Json::parse(*rows);
        if (merged.empty())
            merged = parsed;
        for (auto const& row : parsed) {
            auto const existing = std::find_if(merged.begin(), merged.end(), [&](auto const& other) { return other["upstream"] == row["upstream"]; });
            if (existing != merged.end() && row.contains("load"))
                *existing = row;
        }
    }
    if (merged.empty())
        return fail(Error(ErrorCode::NotFound, "no daemon reported an upstream for model " + line.arguments[0]));
    if (line.wantsJson)
        std::cout << merged.dump() << '\n';
    for (size_t index = 0; !line.wantsJson && index < merged.size(); ++index) {
        std::cout << "choice=" << index + 1 << ' ';
        printRow(merged[index]);
    }
    return ExitCode::Done;
}

}
