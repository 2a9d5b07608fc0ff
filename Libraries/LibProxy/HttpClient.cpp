#include <LibProxy/HttpClient.h>

#include <LibProxy/Detail/Native.h>

namespace Stagepost {

namespace {

    Error failureOf(Endpoint const& endpoint, NetError failure)
    {
        auto const code = failure == Beast::error::timeout ? ErrorCode::Timeout : ErrorCode::Malformed;
        return { code, endpoint.toString() + ": " + failure.message() };
    }

    // An answer that goes on coming may take so many time-outs in all: 1.1 MB at a
    // fifth of a link of 10 Mbit/s take five times the second that the store's answers
    // are given. Whoever waits tries elsewhere only after that.
    constexpr int longestInTimeouts = 8;

    Net::awaitable<Result<HttpReply>> fetchReply(Endpoint endpoint, HttpCall call, Milliseconds timeout)
    {
        TcpStream stream(co_await Net::this_coro::executor);
        stream.expires_after(timeout);
        auto [connectFailure] = co_await stream.async_connect(nativeEndpoint<Tcp>(endpoint), useTuple);
        if (connectFailure)
            co_return Error(ErrorCode::Unreachable, endpoint.toString() + ": " + connectFailure.message());
        stream.socket().set_option(Tcp::no_delay(true));

        Http::request<Http::string_body> request(Http::string_to_verb(call.method), call.target, 11);
        for (auto const& field : call.headers)
            request.insert(field.name, field.value);
        request.set(Http::field::host, endpoint.toString());
        request.keep_alive(false);
        request.body() = std::move(call.body);
        request.prepare_payload();
        auto [writeFailure, written] = co_await Http::async_write(stream, request, useTuple);
        if (writeFailure)
            co_return failureOf(endpoint, writeFailure);

        Http::response_parser<Http::string_body> parser;
        parser.body_limit(HttpClient::largestAnswer);

        // The time-out runs anew with each part of the answer: a large one takes as long as
        // the link does, and one that is begun anew after a fixed time never arrives on a
        // link that is too small for that.
        auto const end = TransferClock::now() + longestInTimeouts * timeout;
        Beast::flat_buffer buffer;
        while (!parser.is_done()) {
            auto [readFailure, read] = co_await Http::async_read_some(stream, buffer, parser, useTuple);
            if (readFailure)
                co_return failureOf(endpoint, readFailure);
            stream.expires_at(std::min(TransferClock::now() + timeout, end));
        }

        HttpReply reply;
        reply.status = parser.get().result_int();
        for (auto const& field : parser.get())
            reply.headers.add(field.name_string(), field.value());
        reply.body = std::move(parser.get().body());
        co_return reply;
    }

}

void HttpClient::fetch(Endpoint const& endpoint, HttpCall call, Milliseconds timeout, Callback callback)
{
    Net::co_spawn(m_loop.native().context, fetchReply(endpoint, std::move(call), timeout),
        [callback = std::move(callback)](std::exception_ptr const& exception, Result<HttpReply> result) {
            if (exception)
                std::rethrow_exception(exception);
            callback(std::move(result));
        });
}

}
