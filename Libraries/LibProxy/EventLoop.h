#pragma once

#include <LibBase/Time.h>
#include <functional>
#include <initializer_list>
#include <memory>

namespace Stagepost {

// A single-threaded event loop for sockets and timers. All callbacks run one
// after another on the thread that calls run().
class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(EventLoop const&) = delete;
    EventLoop& operator=(EventLoop const&) = delete;

    // Runs until stop() is called.
    void run();
    // Runs for the given duration or until stop() is called.
    void runFor(Milliseconds);
    // Thread-safe.
    void stop();

    Instant now() const;

    // Queues the function to run on the loop, never from within this call. Thread-safe.
    void post(std::function<void()>);

    // Calls back each time one of the signals arrives.
    void onSignals(std::initializer_list<int> signals, std::function<void(int)> const& callback);

    // The Boost.Asio implementation, for the other files of this library.
    struct Native;
    Native& native() { return *m_native; }

private:
    std::unique_ptr<Native> m_native;
};

}
