#pragma once

#include <StandIns/StandInServer.h>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>

namespace Stagepost::StandIns {

// A model engine that streams tokens and caches the contexts of recent chats. It reports its load
// and its cache events only when its status is polled.
//   POST /v1/chat/completions {"model":..,"messages":[..],"max_tokens":N}
//   GET /v1/status?events_from=N
//   POST /faults {"mode":"cut"|"refuse"|""}
class EngineStandIn {
public:
    struct Options {
        std::string name { "engine" };
        Milliseconds tokenInterval { 10 };
        // Number of recent chats whose contexts are kept; the least recently used one is evicted.
        size_t maxChats { 1000 };
        // Length of an answer if the request has no max_tokens.
        size_t defaultTokens { 16 };
    };

    EngineStandIn(EventLoop&, Options);
    Endpoint listen(Endpoint const& endpoint) { return m_server.listen(endpoint); }

    size_t inFlight() const { return m_inFlight; }
    size_t cancelled() const { return m_cancelled; }
    size_t served() const { return m_served; }
    size_t reusedContexts() const { return m_reusedContexts; }
    // Closes each stream after that many tokens; 0 disables it.
    void setCutAfter(size_t tokens) { m_cutAfter = tokens; }
    // Closes the connection of each completion request without a response.
    void setRefusesRequests(bool refuses) { m_refusesRequests = refuses; }

private:
    Net::awaitable<bool> handle(TcpStream&, Request&);
    Net::awaitable<bool> complete(TcpStream&, Request&);
    Net::awaitable<bool> stream(TcpStream&, Request const&, size_t tokens, bool isReused);
    // Marks the chat as most recently used. Returns whether its context was cached.
    bool touchContext(std::string const& chat);
    std::string status(uint64_t eventsFrom) const;

    Options m_options;
    size_t m_inFlight { 0 };
    size_t m_cancelled { 0 };
    size_t m_served { 0 };
    size_t m_reusedContexts { 0 };
    size_t m_cutAfter { 0 };
    bool m_refusesRequests { false };
    // Most recently used first.
    std::list<std::string> m_recentChats;
    std::unordered_map<std::string, std::list<std::string>::iterator> m_recentChatPositions;
    std::deque<std::string> m_events;
    uint64_t m_firstEventIndex { 0 };
    StandInServer m_server;
};

}
