#include <stagepostctl/Commands.h>

#include <LibBase/RefusalReason.h>
#include <LibSettings/Schema.h>
#include <iostream>

namespace Stagepost {

namespace {

    std::string scopesOf(SettingRule const& rule)
    {
        std::string text;
        auto const add = [&](unsigned scope, char const* name) {
            if (rule.scopes & scope)
                text += (text.empty() ? "" : ", ") + std::string(name);
        };
        add(InFleet, "fleet");
        add(InOrganisations, "organisations");
        add(InPools, "pools");
        add(InServices, "services");
        return text;
    }

    void printSettings()
    {
        std::cout << "# Settings of the tree\n\n"
                     "Printed by `stagepostctl reference settings`; a test compares it with the schema.\n"
                     "A setting stands in one of the tables named, or in a node below it, and holds for\n"
                     "all nodes below that unless one of them sets it too.\n";
        for (auto const& rule : settingRules()) {
            std::cout << "\n## " << rule.key << "\n\n"
                      << rule.description << "\n\n"
                      << "- allowed: " << describeAllowedValues(rule) << "\n- default: `" << formatSettingValue(rule.defaultValue) << "`\n- stands in: " << scopesOf(rule) << '\n';
        }
    }

    void printReasons()
    {
        std::cout << "# Refusal reasons\n\n"
                     "Printed by `stagepostctl reference reasons`; a test compares it with the code.\n"
                     "Each has a counter `stagepost_refusals_total{reason=\"...\"}`. Whether the request may\n"
                     "have run is in the verdict, never in the reason.\n\n"
                     "| reason | status | what to do |\n|---|---|---|\n";
        for (size_t index = 0; index < static_cast<size_t>(RefusalReason::Count); ++index) {
            auto const reason = static_cast<RefusalReason>(index);
            std::cout << "| `" << nameOf(reason) << "` | " << httpStatusOf(reason) << " | " << adviceFor(reason) << " |\n";
        }
    }

}

ExitCode printReference(CommandLine const& line)
{
    auto const what = line.arguments.size() == 1 ? line.arguments.front() : "";
    if (what == "settings")
        printSettings();
    else if (what == "reasons")
        printReasons();
    else
        return fail(Error(ErrorCode::BadInput, "reference takes 'settings' or 'reasons'"));
    return ExitCode::Done;
}

}
