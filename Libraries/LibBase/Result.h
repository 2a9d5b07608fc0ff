#pragma once

#include <LibBase/Error.h>
#include <boost/system/result.hpp>

namespace Stagepost {

// The value of a fallible call, or its error.
template <typename T>
using Result = boost::system::result<T, Error>;

}

// Evaluates to the value of a fallible expression, or returns its error from the enclosing
// function.
#define TRY(expression)                          \
    ({                                           \
        auto tryResult = (expression);           \
        if (!tryResult)                          \
            return std::move(tryResult).error(); \
        std::move(*tryResult);                   \
    })
