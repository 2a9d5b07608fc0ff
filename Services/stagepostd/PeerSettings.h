#pragma once

#include <LibBase/Authenticator.h>
#include <LibProxy/HttpClient.h>
#include <LibSettings/PublicationReader.h>
#include <functional>
#include <stagepostd/SettingsFollower.h>

namespace Stagepost {

// Fetches the accepted settings from other daemons, and serves them to other daemons:
//   GET /internal/settings, with an authenticated text in the Stagepost-Peer header
// The response is authenticated as well, so that only daemons of the fleet exchange settings.
class PeerSettings {
public:
    static constexpr char const* path = "/internal/settings";

    PeerSettings(EventLoop&, HttpClient&, std::string_view key, VMId self, Incarnation, SettingsFollower&);

    // Fetches the settings of a peer if their revision is newer than the applied one.
    void fetchIfNewer(Endpoint const& peer, Revision);
    HttpResponse handleRequest(HttpRequest const&);

private:
    void handleReply(Result<HttpResponse> const&);

    EventLoop& m_loop;
    HttpClient& m_client;
    Authenticator m_authenticator;
    SettingsFollower& m_settings;
    bool m_isFetching { false };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
