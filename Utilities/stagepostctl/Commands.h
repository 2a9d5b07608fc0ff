#pragma once

#include <stagepostctl/CommandLine.h>

namespace Stagepost {

ExitCode checkFile(CommandLine const&);
ExitCode hashToken(CommandLine const&);
ExitCode publishFile(CommandLine const&);
ExitCode showSettings(CommandLine const&);
ExitCode showDifference(CommandLine const&);
ExitCode showHistory(CommandLine const&);
ExitCode showStatus(CommandLine const&);
ExitCode drainVM(CommandLine const&);
ExitCode undrainVM(CommandLine const&);
ExitCode explainChat(CommandLine const&);
ExitCode showRollouts(CommandLine const&);
ExitCode printReference(CommandLine const&);

// Prints an error to standard error and returns the exit code: Usage for a BadInput error
// unless the caller chose another code, otherwise the given one.
ExitCode fail(Error const&, ExitCode = ExitCode::Failed);

}
