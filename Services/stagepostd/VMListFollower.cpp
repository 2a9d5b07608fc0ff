#include <stagepostd/VMListFollower.h>

#include <LibBase/Log.h>

namespace Stagepost {

namespace {

    constexpr Milliseconds longestWait { 5000 };
    constexpr Milliseconds leastInterval { 200 };
    constexpr Milliseconds failurePause { 1000 };

}

VMListFollower::VMListFollower(EventLoop& loop, VMListClient client, Changed changed)
    : m_client(std::move(client))
    , m_changed(std::move(changed))
    , m_timer(loop)
{
}

void VMListFollower::start()
{
    ask();
}

void VMListFollower::ask()
{
    m_client.fetchChanges(m_list.version(), longestWait, [this, alive = std::weak_ptr(m_alive)](Result<std::string> const& answer) {
        if (!alive.expired())
            take(answer);
    });
}

void VMListFollower::take(Result<std::string> const& answer)
{
    auto const before = m_list.version();
    auto const changed = answer ? m_list.apply(*answer) : Result<std::vector<VMEntry>>(answer.error());
    if (!changed)
        logEvent(LogLevel::Warning, "vm-list-unavailable", { { "detail", changed.error().message() } });
    else if (m_list.version() != before)
        m_changed(*changed);
    m_timer.once(changed ? leastInterval : failurePause, [this] { ask(); });
}

}
