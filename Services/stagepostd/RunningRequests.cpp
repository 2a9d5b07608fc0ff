#include <stagepostd/RunningRequests.h>

#include <LibBase/Hash.h>
#include <algorithm>

namespace Stagepost {

WorkId workIdOf(std::string_view service, std::string_view route)
{
    return WorkId(mixHashes(hashOf(service), hashOf(route)));
}

RunningRequests::Entry::Entry(std::shared_ptr<History> history, std::list<Running>::iterator running)
    : m_history(std::move(history))
    , m_running(running)
{
}

void RunningRequests::Entry::answered(Instant now)
{
    auto& durations = m_history->durations;
    if (durations.size() < keptDurations)
        durations.push_back(duration(now));
    else
        durations[m_history->next] = duration(now);
    m_history->next = (m_history->next + 1) % keptDurations;
}

// Requests that fail early must not take the places of those that show how long the work takes.
void RunningRequests::Entry::brokenOff(Instant now)
{
    auto const& durations = m_history->durations;
    if (std::all_of(durations.begin(), durations.end(), [&](auto each) { return each < duration(now); }))
        answered(now);
}

std::shared_ptr<RunningRequests::History> RunningRequests::historyOf(WorkId work)
{
    if (m_histories.size() >= maxWorks && !m_histories.contains(work))
        std::erase_if(m_histories, [](auto const& entry) { return entry.second->running.empty(); });
    auto& history = m_histories[work];
    if (!history)
        history = std::make_shared<History>();
    return history;
}

std::unique_ptr<RunningRequests::Entry> RunningRequests::add(WorkId work, Instant receivedAt, std::function<void()> giveUp)
{
    auto history = historyOf(work);
    auto const running = history->running.insert(history->running.end(), { receivedAt, std::move(giveUp) });
    return std::make_unique<Entry>(std::move(history), running);
}

RunningRequests::Durations RunningRequests::durations(WorkId work, Instant now) const
{
    Durations result;
    auto const found = m_histories.find(work);
    if (found == m_histories.end())
        return result;
    auto const& history = *found->second;
    if (history.durations.size() >= minDurations)
        result.longest = *std::max_element(history.durations.begin(), history.durations.end());
    if (!history.running.empty())
        result.oldestRunning = now - history.running.front().receivedAt;
    return result;
}

// A request may end, or be added, while another one is given up.
void RunningRequests::giveUpAll() const
{
    std::vector<std::function<void()>> callbacks;
    for (auto const& [work, history] : m_histories) {
        for (auto const& running : history->running)
            callbacks.push_back(running.giveUp);
    }
    for (auto const& callback : callbacks)
        callback();
}

}
