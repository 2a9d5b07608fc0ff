#include <iostream>
#include <map>
#include <stagepostctl/Commands.h>

int main(int argc, char** argv)
{
    using namespace Stagepost;
    auto const line = CommandLine::parse(argc, argv);
    if (!line)
        return static_cast<int>(fail(line.error(), ExitCode::Usage));
    if (!line->helpText.empty()) {
        std::cout << line->helpText;
        return static_cast<int>(ExitCode::Done);
    }
    using Command = ExitCode (*)(CommandLine const&);
    std::map<std::string, Command> const commands {
        { "check", checkFile },
        { "hash-token", hashToken },
        { "publish", publishFile },
        { "show", showSettings },
        { "diff", showDifference },
        { "history", showHistory },
        { "status", showStatus },
        { "drain", drainVM },
        { "undrain", undrainVM },
        { "explain", explainChat },
        { "rollouts", showRollouts },
        { "reference", printReference },
    };
    auto const command = commands.find(line->command);
    if (command == commands.end())
        return static_cast<int>(fail(Error(ErrorCode::BadInput, "unknown command '" + line->command + "'; see --help"), ExitCode::Usage));
    return static_cast<int>(command->second(*line));
}
