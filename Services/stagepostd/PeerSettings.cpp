#include <stagepostd/PeerSettings.h>

#include <LibBase/Hex.h>
#include <LibBase/Log.h>
#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>

namespace Stagepost {

namespace {

    constexpr char const* peerHeader = "Stagepost-Peer";
    constexpr char const* requestText = "settings";
    constexpr Milliseconds fetchTimeout { 1000 };
    constexpr unsigned statusForbidden = 403;
    constexpr unsigned statusNotFound = 404;

    std::string encode(AcceptedSettings const& settings)
    {
        MessageWriter writer;
        writer.id(settings.revision);
        writer.id(settings.upTo);
        writer.text(settings.toml);
        writer.text(settings.author);
        writer.text(settings.nonce);
        return writer.release();
    }

    std::optional<AcceptedSettings> decode(std::string_view bytes)
    {
        MessageReader reader(bytes);
        AcceptedSettings settings;
        settings.revision = reader.id<Revision>();
        settings.upTo = reader.id<Offset>();
        settings.toml = reader.text();
        settings.author = reader.text();
        settings.nonce = reader.text();
        if (!reader.finished())
            return {};
        return settings;
    }

}

// The key differs from that of the datagrams, since the two have separate sequence numbers.
PeerSettings::PeerSettings(EventLoop& loop, HttpClient& client, std::string_view key, VMId self, Incarnation incarnation, SettingsFollower& settings)
    : m_loop(loop)
    , m_client(client)
    , m_authenticator(std::string(key) + "/settings", self, incarnation)
    , m_settings(settings)
{
}

void PeerSettings::fetchIfNewer(Endpoint const& peer, Revision revision)
{
    if (m_isFetching || revision <= m_settings.revision())
        return;
    m_isFetching = true;
    HttpRequest call { "GET", path, { { peerHeader, bytesToHex(m_authenticator.signMessage(requestText)) } }, {} };
    m_client.fetch(peer, std::move(call), fetchTimeout, [this, alive = std::weak_ptr(m_alive)](Result<HttpResponse> const& reply) {
        if (!alive.expired())
            handleReply(reply);
    });
}

void PeerSettings::handleReply(Result<HttpResponse> const& reply)
{
    m_isFetching = false;
    if (!reply || reply->status != 200)
        return;
    auto const verified = m_authenticator.verifyMessage(reply->body);
    if (!verified) {
        logEvent(LogLevel::Warning, "peer-settings-refused", { { "detail", verified.error().message() } });
        return;
    }
    if (auto const settings = decode(verified->body))
        m_settings.adopt(*settings);
}

HttpResponse PeerSettings::handleRequest(HttpRequest const& call)
{
    auto const verified = m_authenticator.verifyMessage(hexToBytes(call.headers.find(peerHeader)));
    if (!verified || verified->body != requestText)
        return makeTextResponse(statusForbidden, "for daemons of this fleet only\n");
    if (!m_settings.settings())
        return makeTextResponse(statusNotFound, "no settings yet\n");
    return { 200, { { "Content-Type", "application/octet-stream" } }, m_authenticator.signMessage(encode(m_settings.applied())) };
}

}
