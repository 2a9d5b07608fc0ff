#pragma once

#include <LibProxy/Detail/Native.h>
#include <functional>
#include <memory>
#include <optional>

namespace Stagepost {

// Calls back when nothing has happened for a while, or when a fixed end has come.
// Saying that something has happened only notes the time, which is far cheaper
// than a timer for each read and each write of a stream.
class IdleWatchdog {
public:
    using Clock = MonotonicClock;

    IdleWatchdog(Net::io_context& context, Milliseconds limit, std::optional<Clock::time_point> end, std::function<void()> expired)
        : m_state(std::make_shared<State>(context, limit, end, std::move(expired)))
    {
        m_state->arm(m_state->dueAt());
    }

    ~IdleWatchdog()
    {
        m_state->expired = nullptr;
        m_state->goesOn = nullptr;
        m_state->timer.cancel();
    }
    IdleWatchdog(IdleWatchdog const&) = delete;
    IdleWatchdog& operator=(IdleWatchdog const&) = delete;

    // Asked before it expires, but not at the fixed end: true begins the phase anew.
    void extendBy(std::function<bool()> goesOn) { m_state->goesOn = std::move(goesOn); }

    void touch() { m_state->lastActivity = Clock::now(); }

    // Begins a phase in which nothing may happen for that long.
    void allow(Milliseconds limit)
    {
        touch();
        m_state->limit = limit;
        if (m_state->dueAt() < m_state->armedUntil)
            m_state->arm(m_state->dueAt());
    }

    bool hasExpired() const { return m_state->hasExpired; }
    bool hasReachedEnd() const { return m_state->hasExpired && m_state->isAtEnd(); }

private:
    struct State : std::enable_shared_from_this<State> {
        State(Net::io_context& context, Milliseconds idleLimit, std::optional<Clock::time_point> fixedEnd, std::function<void()> callback)
            : timer(context)
            , limit(idleLimit)
            , end(fixedEnd)
            , expired(std::move(callback))
            , lastActivity(Clock::now())
        {
        }

        Clock::time_point dueAt() const
        {
            auto const idleEnd = lastActivity + limit;
            return end ? std::min(idleEnd, *end) : idleEnd;
        }

        bool isAtEnd() const { return end && Clock::now() >= *end; }

        void arm(Clock::time_point due)
        {
            armedUntil = due;
            timer.expires_at(due);
            timer.async_wait([self = shared_from_this()](NetError failure) {
                if (!failure && self->expired)
                    self->check();
            });
        }

        void check()
        {
            if (Clock::now() < dueAt()) {
                arm(dueAt());
                return;
            }
            if (!isAtEnd() && goesOn && goesOn()) {
                lastActivity = Clock::now();
                arm(dueAt());
                return;
            }
            hasExpired = true;
            expired();
        }

        ClockTimer timer;
        Milliseconds limit;
        std::optional<Clock::time_point> end;
        std::function<void()> expired;
        std::function<bool()> goesOn;
        Clock::time_point lastActivity;
        Clock::time_point armedUntil;
        bool hasExpired { false };
    };

    std::shared_ptr<State> m_state;
};

}
