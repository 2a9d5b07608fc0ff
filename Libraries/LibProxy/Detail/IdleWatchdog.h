#pragma once

#include <LibProxy/Detail/Native.h>
#include <functional>
#include <memory>
#include <optional>

namespace Stagepost {

// Calls back after an idle timeout or at a fixed deadline. Recording activity only stores
// the time, which is much cheaper than rearming a timer for every read and write.
class IdleWatchdog {
public:
    using Clock = MonotonicClock;

    IdleWatchdog(Net::io_context& context, Milliseconds idleTimeout, std::optional<Clock::time_point> deadline, std::function<void()> onExpired)
        : m_state(std::make_shared<State>(context, idleTimeout, deadline, std::move(onExpired)))
    {
        m_state->arm(m_state->expiryTime());
    }

    ~IdleWatchdog()
    {
        m_state->onExpired = nullptr;
        m_state->shouldExtend = nullptr;
        m_state->timer.cancel();
    }
    IdleWatchdog(IdleWatchdog const&) = delete;
    IdleWatchdog& operator=(IdleWatchdog const&) = delete;

    // Called when the idle timeout expires, but not at the deadline: true restarts the timeout.
    void setExtendCallback(std::function<bool()> shouldExtend) { m_state->shouldExtend = std::move(shouldExtend); }

    void recordActivity() { m_state->lastActivity = Clock::now(); }

    // Restarts the idle timeout with a new duration.
    void restart(Milliseconds idleTimeout)
    {
        recordActivity();
        m_state->idleTimeout = idleTimeout;
        if (m_state->expiryTime() < m_state->armedUntil)
            m_state->arm(m_state->expiryTime());
    }

    bool hasExpired() const { return m_state->hasExpired; }
    bool hasReachedDeadline() const { return m_state->hasExpired && m_state->isPastDeadline(); }

private:
    struct State : std::enable_shared_from_this<State> {
        State(Net::io_context& context, Milliseconds initialTimeout, std::optional<Clock::time_point> fixedDeadline, std::function<void()> callback)
            : timer(context)
            , idleTimeout(initialTimeout)
            , deadline(fixedDeadline)
            , onExpired(std::move(callback))
            , lastActivity(Clock::now())
        {
        }

        Clock::time_point expiryTime() const
        {
            auto const idleEnd = lastActivity + idleTimeout;
            return deadline ? std::min(idleEnd, *deadline) : idleEnd;
        }

        bool isPastDeadline() const { return deadline && Clock::now() >= *deadline; }

        void arm(Clock::time_point expiry)
        {
            armedUntil = expiry;
            timer.expires_at(expiry);
            timer.async_wait([self = shared_from_this()](NetError failure) {
                if (!failure && self->onExpired)
                    self->check();
            });
        }

        void check()
        {
            if (Clock::now() < expiryTime()) {
                arm(expiryTime());
                return;
            }
            if (!isPastDeadline() && shouldExtend && shouldExtend()) {
                lastActivity = Clock::now();
                arm(expiryTime());
                return;
            }
            hasExpired = true;
            onExpired();
        }

        ClockTimer timer;
        Milliseconds idleTimeout;
        std::optional<Clock::time_point> deadline;
        std::function<void()> onExpired;
        std::function<bool()> shouldExtend;
        Clock::time_point lastActivity;
        Clock::time_point armedUntil;
        bool hasExpired { false };
    };

    std::shared_ptr<State> m_state;
};

}
