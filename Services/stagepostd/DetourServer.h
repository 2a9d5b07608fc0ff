#pragma once

#include <LibBase/Metrics.h>
#include <LibProxy/Exchange.h>
#include <array>
#include <functional>
#include <memory>
#include <stagepostd/DetourTerms.h>
#include <stagepostd/RefusalReply.h>

namespace Stagepost {

// Takes requests that other daemons pass on because they have lost their links to the upstreams.
// Each is handled like a request of this daemon's own callers, within what its terms leave of its
// limits, and is never passed on again.
class DetourServer {
public:
    // Marks the answers that this daemon gave itself. The value says whether another daemon may
    // serve the request.
    static constexpr char const* refusalHeader = "Stagepost-Detour";
    static constexpr char const* refusedHere = "elsewhere";
    static constexpr char const* refusedFinally = "refused";
    // Callers and other daemons take an answer with these fields for one of this daemon, so that they are removed from
    // answers of upstreams.
    static constexpr std::array<std::string_view, 3> markFields { refusalHeader, RefusalFields::reason, RefusalFields::verdict };
    // Carries the signed terms.
    static constexpr char const* termsHeader = "Stagepost-Detour-Terms";

    struct Hooks {
        // Whether this daemon reaches upstreams, and is not about to stop.
        std::function<bool()> canServe;
        std::function<uint64_t()> settingsVersion;
        // Handles the request. Answers to the exchange go to the other daemon.
        std::function<void(std::shared_ptr<Exchange> const&, DetourTerms const&)> handle;
    };

    // Takes at most that many requests at a time; 0 takes none.
    DetourServer(size_t maxRequests, std::string requestIdField, Metrics&, Hooks);
    DetourServer(DetourServer const&) = delete;
    DetourServer& operator=(DetourServer const&) = delete;

    void serve(std::shared_ptr<Exchange>, DetourTerms const&);

    bool isAvailable() const { return *m_open < m_maxRequests && m_hooks.canServe(); }
    // The requests of other daemons that are under way.
    size_t load() const { return *m_open; }

private:
    size_t m_maxRequests;
    std::string m_requestIdField;
    Metrics& m_metrics;
    Hooks m_hooks;
    // Shared with the requests, which may outlive this object while the daemon stops.
    std::shared_ptr<size_t> m_open { std::make_shared<size_t>(0) };
};

}
