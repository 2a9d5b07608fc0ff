#pragma once

#include <LibBase/Authenticator.h>
#include <LibProxy/HttpClient.h>
#include <LibSettings/PublicationReader.h>
#include <functional>
#include <stagepostd/SettingsFollower.h>

namespace Stagepost {

// Gets the accepted settings from another daemon, and gives them to others:
//   GET /internal/settings, with a sealed word in the Stagepost-Peer field
// The answer is sealed as well, so neither side takes a stranger's word.
class PeerSettings {
public:
    static constexpr char const* path = "/internal/settings";

    PeerSettings(EventLoop&, HttpClient&, std::string_view key, VMId self, Incarnation, SettingsFollower&);

    // A daemon says that it serves from a revision; fetches it if it is newer.
    void revisionSeen(Endpoint const& peer, Revision);
    HttpResponse answer(HttpRequest const&);

private:
    void take(Result<HttpResponse> const&);

    EventLoop& m_loop;
    HttpClient& m_client;
    Authenticator m_authenticator;
    SettingsFollower& m_settings;
    bool m_isFetching { false };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
