#pragma once

#include <string_view>

namespace Stagepost {

// Whether a request was executed by an upstream. NotRun is used only if it is certain that the
// request was not executed and never will be; any uncertainty is MayHaveRun.
enum class Verdict {
    NotRun,
    MayHaveRun,
    Ran,
};

// Returns the name that callers see: "not-run", "may-have-run" or "ran".
std::string_view nameOf(Verdict);

// Combines the verdicts on two attempts of a request. The higher one wins, so that any doubt
// about one attempt applies to the whole request.
Verdict combine(Verdict, Verdict);

}
