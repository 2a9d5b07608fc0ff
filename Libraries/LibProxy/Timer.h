#pragma once

#include <LibProxy/EventLoop.h>

namespace Stagepost {

// Calls back once after a delay or repeatedly at an interval. Its destruction cancels
// pending callbacks.
class Timer {
public:
    explicit Timer(EventLoop&);
    ~Timer();
    Timer(Timer const&) = delete;
    Timer& operator=(Timer const&) = delete;

    // Both replace the callback that was scheduled before.
    void once(Microseconds delay, std::function<void()>);
    void every(Microseconds interval, std::function<void()>);
    void cancel();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
