#include <LibProxy/EventLoop.h>

#include <LibProxy/Detail/Native.h>
#include <LibProxy/Timer.h>

namespace Stagepost {

EventLoop::EventLoop()
    : m_native(std::make_unique<Native>())
{
}

EventLoop::~EventLoop() = default;

namespace {

    // Destroying a context's last work guard stops the context. The guard is therefore
    // destroyed before restart(); otherwise the next run would return immediately.
    template <typename Run>
    void runAndRestart(Net::io_context& context, Run const& run)
    {
        {
            auto const keepRunning = Net::make_work_guard(context);
            run();
        }
        context.restart();
    }

}

void EventLoop::run()
{
    runAndRestart(m_native->context, [this] { m_native->context.run(); });
}

void EventLoop::runFor(Milliseconds duration)
{
    runAndRestart(m_native->context, [this, duration] { m_native->context.run_for(duration); });
}

void EventLoop::stop()
{
    m_native->context.stop();
}

Instant EventLoop::now() const
{
    return MonotonicClock::now();
}

void EventLoop::post(std::function<void()> function)
{
    Net::post(m_native->context, std::move(function));
}

namespace {

    void waitForSignal(Net::signal_set& signals, std::function<void(int)> const& callback)
    {
        signals.async_wait([&signals, callback](NetError failure, int signal) {
            if (failure)
                return;
            callback(signal);
            waitForSignal(signals, callback);
        });
    }

}

void EventLoop::onSignals(std::initializer_list<int> signals, std::function<void(int)> const& callback)
{
    auto& set = m_native->signals.emplace_back(m_native->context);
    for (int const signal : signals)
        set.add(signal);
    waitForSignal(set, callback);
}

struct Timer::State {
    explicit State(EventLoop& loop)
        : timer(loop.native().context)
    {
    }
    ClockTimer timer;
    uint64_t generation { 0 };
};

Timer::Timer(EventLoop& loop)
    : m_state(std::make_shared<State>(loop))
{
}

Timer::~Timer()
{
    cancel();
}

void Timer::cancel()
{
    ++m_state->generation;
    m_state->timer.cancel();
}

void Timer::once(Microseconds delay, std::function<void()> function)
{
    cancel();
    m_state->timer.expires_after(delay);
    m_state->timer.async_wait([state = m_state, generation = m_state->generation, function = std::move(function)](NetError) {
        if (state->generation == generation)
            function();
    });
}

void Timer::every(Microseconds interval, std::function<void()> function)
{
    once(interval, [this, interval, function = std::move(function)] {
        auto const state = m_state;
        auto const generation = state->generation;
        function();
        if (state->generation == generation)
            every(interval, function);
    });
}

}
