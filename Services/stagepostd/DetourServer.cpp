#include <stagepostd/DetourServer.h>

#include <LibBase/RefusalReason.h>
#include <algorithm>
#include <array>
#include <stagepostd/GatewayReply.h>

namespace Stagepost {

namespace {

    // Whether another daemon may serve a request that was refused for this reason.
    bool concernsOneDaemon(std::string_view reason)
    {
        constexpr std::array reasons { RefusalReason::Draining, RefusalReason::NoSettings, RefusalReason::NoSuchRoute, RefusalReason::NoUpstream, RefusalReason::SettingsTooOld, RefusalReason::UnknownKey, RefusalReason::UpstreamRefused };
        return std::any_of(reasons.begin(), reasons.end(), [&](auto each) { return nameOf(each) == reason; });
    }

    // The exchange of a request that another daemon has passed on. Answers of this daemon itself are
    // marked, so that the other one can tell them from answers of upstreams.
    class DetouredExchange final : public Exchange {
    public:
        DetouredExchange(std::shared_ptr<Exchange> exchange, std::string const& requestIdField, std::shared_ptr<size_t> open)
            : m_exchange(std::move(exchange))
            , m_request(m_exchange->request())
            , m_requestIdField(requestIdField)
            , m_open(std::move(open))
        {
            m_request.headers.remove(DetourServer::termsHeader);
            ++*m_open;
        }

        ~DetouredExchange() override { --*m_open; }

        HttpRequest const& request() const override { return m_request; }
        void forward(ForwardPlan plan, ForwardCallback callback) override
        {
            plan.removedResponseFields = DetourServer::markFields;
            m_exchange->forward(std::move(plan), std::move(callback));
        }
        void stopForward() override { m_exchange->stopForward(); }
        void abort() override { m_exchange->abort(); }
        void onClientDisconnect(std::function<void()> callback) override { m_exchange->onClientDisconnect(std::move(callback)); }
        bool isClientDisconnected() const override { return m_exchange->isClientDisconnected(); }

        void respond(HttpResponse response) override
        {
            bool const isOwnReason = response.headers.find(RefusalFields::verdict) == nameOf(Verdict(NotRunProof::nothingSent())) && concernsOneDaemon(response.headers.find(RefusalFields::reason));
            respond(std::move(response), isOwnReason ? DetourServer::refusedHere : DetourServer::refusedFinally);
        }

        void respond(HttpResponse response, std::string_view mark)
        {
            response.headers.set(DetourServer::refusalHeader, mark);
            response.headers.set(m_requestIdField, m_request.headers.find(m_requestIdField));
            m_exchange->respond(std::move(response));
        }

    private:
        std::shared_ptr<Exchange> m_exchange;
        HttpRequest m_request;
        std::string m_requestIdField;
        std::shared_ptr<size_t> m_open;
    };

}

DetourServer::DetourServer(size_t maxRequests, std::string requestIdField, Metrics& metrics, Hooks hooks)
    : m_maxRequests(maxRequests)
    , m_requestIdField(std::move(requestIdField))
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
{
}

void DetourServer::serve(std::shared_ptr<Exchange> exchange, DetourTerms const& terms)
{
    auto const refusal = [&]() -> std::optional<Refusal> {
        if (!isAvailable())
            return Refusal { RefusalReason::NoUpstream, NotRunProof::nothingSent(), "this daemon takes no requests of others now", {} };
        if (m_hooks.settingsVersion() < terms.settingsVersion)
            return Refusal { RefusalReason::SettingsTooOld, NotRunProof::nothingSent(), "this daemon has an older configuration", {} };
        if (!terms.sendsLeft)
            return Refusal { RefusalReason::NoUpstream, NotRunProof::nothingSent(), "the request may be sent to no more upstreams", {} };
        return {};
    }();
    auto const detoured = std::make_shared<DetouredExchange>(std::move(exchange), m_requestIdField, m_open);
    m_metrics.count("stagepost_detoured_requests_total", refusal ? "outcome=\"refused\"" : "outcome=\"taken\"");
    if (refusal)
        detoured->respond(gatewayReply(*refusal), refusedHere);
    else
        m_hooks.handle(detoured, terms);
}

}
