#include <stagepostd/VMListFollower.h>

#include <LibBase/Log.h>

namespace Stagepost {

namespace {

    constexpr Milliseconds maxWait { 5000 };
    constexpr Milliseconds minInterval { 200 };
    constexpr Milliseconds retryDelay { 1000 };

}

VMListFollower::VMListFollower(EventLoop& loop, VMListClient client, ChangedCallback changed)
    : m_client(std::move(client))
    , m_changedCallback(std::move(changed))
    , m_timer(loop)
{
}

void VMListFollower::start()
{
    poll();
}

void VMListFollower::poll()
{
    m_client.fetchChanges(m_list.version(), maxWait, [this, alive = std::weak_ptr(m_alive)](Result<std::string> const& answer) {
        if (!alive.expired())
            handleResponse(answer);
    });
}

void VMListFollower::handleResponse(Result<std::string> const& answer)
{
    auto const previousVersion = m_list.version();
    auto const changed = answer ? m_list.apply(*answer) : Result<std::vector<VMEntry>>(answer.error());
    if (!changed)
        logEvent(LogLevel::Warning, "vm-list-unavailable", { { "detail", changed.error().message() } });
    else if (m_list.version() != previousVersion)
        m_changedCallback(*changed);
    m_timer.once(changed ? minInterval : retryDelay, [this] { poll(); });
}

}
