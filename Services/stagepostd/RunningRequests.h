#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Stagepost {

// Requests that take about the same time: those of a route to a service.
using WorkId = Id<struct WorkTag>;

WorkId workIdOf(std::string_view service, std::string_view route);

// The requests under way, and how long earlier ones took from their arrival to the end of their answers.
class RunningRequests {
    struct Running {
        Instant receivedAt;
        std::function<void()> giveUp;
    };
    struct History {
        // In the order of their arrival.
        std::list<Running> running;
        // The latest ones, without an order.
        std::vector<Microseconds> durations;
        size_t next { 0 };
    };

public:
    // Counts a request as running until this object ends.
    class Entry {
    public:
        Entry(std::shared_ptr<History>, std::list<Running>::iterator);
        ~Entry() { m_history->running.erase(m_running); }
        Entry(Entry const&) = delete;
        Entry& operator=(Entry const&) = delete;

        // The request's answer is complete.
        void answered(Instant now);
        // The request has ended without one, which tells only that it would have taken longer.
        void brokenOff(Instant now);

    private:
        Microseconds duration(Instant now) const { return now - m_running->receivedAt; }

        std::shared_ptr<History> m_history;
        std::list<Running>::iterator m_running;
    };

    struct Durations {
        // Empty if there are too few to say.
        std::optional<Microseconds> longest;
        // How long the oldest request that is still running has taken so far; zero if there is none.
        Microseconds oldestRunning { 0 };
    };

    // The callback ends the request without its answer; see giveUpAll().
    std::unique_ptr<Entry> add(WorkId, Instant receivedAt, std::function<void()> giveUp);
    Durations durations(WorkId, Instant now) const;
    void giveUpAll() const;
    size_t knownWorks() const { return m_histories.size(); }

    // The longest of so many requests is hardly ever exceeded by a large part.
    static constexpr size_t keptDurations = 64;
    static constexpr size_t minDurations = 16;
    // Routes come and go with configurations.
    static constexpr size_t maxWorks = 4096;

private:
    std::shared_ptr<History> historyOf(WorkId);

    std::unordered_map<WorkId, std::shared_ptr<History>> m_histories;
};

}
