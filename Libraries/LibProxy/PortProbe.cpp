#include <LibProxy/PortProbe.h>

#include <LibProxy/Detail/Native.h>

namespace Stagepost {

namespace {

    Net::awaitable<PortState> probePort(Endpoint endpoint, Milliseconds timeout)
    {
        TcpStream stream(co_await Net::this_coro::executor);
        stream.expires_after(timeout);
        auto [failure] = co_await stream.async_connect(toNativeEndpoint<Tcp>(endpoint), useTuple);
        if (!failure)
            co_return PortState::Open;
        co_return failure == Net::error::connection_refused ? PortState::Closed : PortState::NoResponse;
    }

}

void PortProbe::probe(Endpoint const& endpoint, Milliseconds timeout, Callback callback)
{
    Net::co_spawn(m_loop.native().context, probePort(endpoint, timeout),
        [callback = std::move(callback)](std::exception_ptr const& exception, PortState state) {
            if (exception)
                std::rethrow_exception(exception);
            callback(state);
        });
}

}
