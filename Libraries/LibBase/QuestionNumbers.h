#pragma once

#include <LibBase/Hooks.h>

namespace Stagepost {

// Numbers the questions that this process puts to other daemons, by which it matches their replies. The first number is random
// for each process: after a daemon has started again under its id, replies to questions of its earlier process may still
// arrive, and must not match a question of this one.
class QuestionNumbers {
public:
    explicit QuestionNumbers(RandomHook const& random)
        : m_last(static_cast<uint32_t>(random()))
    {
    }

    // A number of 32 bits, which takes 5 bytes of a message instead of 9.
    uint64_t next() { return ++m_last; }
    // A number that also names what the question is about, so that a reply to a question about something else does not match
    // even if the numbers of two processes are the same. Daemons of all versions return it unchanged in their replies.
    uint64_t nextAbout(uint64_t subject) { return next() << 32U | (subject & UINT32_MAX); }

private:
    uint32_t m_last;
};

}
