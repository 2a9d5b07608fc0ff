#include <LibProxy/HttpClient.h>

#include <LibProxy/Detail/InterimResponses.h>
#include <LibProxy/Detail/MessageFields.h>
#include <LibProxy/Detail/ResponseRules.h>
#include <LibProxy/Detail/UpstreamConnections.h>

namespace Stagepost {

namespace {

    Error makeTransferError(Endpoint const& endpoint, NetError failure)
    {
        auto const code = failure == Beast::error::timeout ? ErrorCode::Timeout : ErrorCode::Malformed;
        return { code, endpoint.toString() + ": " + failure.message() };
    }

    // Limits the total time of a response that keeps arriving, because its caller retries
    // elsewhere only after that. 1.1 MB over a fifth of a 10 Mbit/s link take five times
    // the timeout of 1 s for reads from the store.
    constexpr int maxTimeoutsPerResponse = 8;

    Net::awaitable<Result<HttpResponse>> fetchResponse(Net::io_context& context, Endpoint endpoint, HttpRequest httpRequest, Milliseconds timeout, size_t maxBodySize)
    {
        UpstreamConnection connection(context);
        auto& stream = connection.stream;
        stream.expires_after(timeout);
        auto [connectFailure] = co_await stream.async_connect(toNativeEndpoint<Tcp>(endpoint), useTuple);
        if (connectFailure)
            co_return Error(ErrorCode::Unreachable, endpoint.toString() + ": " + connectFailure.message());
        resetWhenClosed(stream);
        connection.isAnswered = false;
        stream.socket().set_option(Tcp::no_delay(true));

        Http::request<Http::string_body> request(Http::string_to_verb(httpRequest.method), httpRequest.target, 11);
        for (auto const& field : httpRequest.headers)
            request.insert(field.name, field.value);
        request.set(Http::field::host, endpoint.toString());
        request.keep_alive(false);
        request.body() = std::string(httpRequest.body);
        request.prepare_payload();
        auto [writeFailure, written] = co_await Http::async_write(stream, request, useTuple);
        if (writeFailure)
            co_return makeTransferError(endpoint, writeFailure);

        std::optional<Http::response_parser<Http::string_body>> parser;
        InterimResponses interim;
        size_t readBytes = 0;

        // Each read restarts the timeout. With a fixed timeout a large response would never
        // arrive over a slow link: every retry would start again from the first byte.
        auto const deadline = TransferClock::now() + maxTimeoutsPerResponse * timeout;
        do {
            // A parser reads one response only.
            parser.emplace();
            parser->body_limit(maxBodySize);
            readBytes = 0;
            while (!parser->is_done()) {
                auto [readFailure, read] = co_await Http::async_read_some(stream, connection.buffer, *parser, useTuple);
                if (readFailure)
                    co_return makeTransferError(endpoint, readFailure);
                if (parser->is_header_done() && !isStatusCode(parser->get().result_int()))
                    co_return Error(ErrorCode::Malformed, endpoint.toString() + ": the answer has a status that HTTP has not");
                readBytes += read;
                stream.expires_at(std::min(TransferClock::now() + timeout, deadline));
            }
        } while (interim.shouldSkip(parser->get().result_int(), readBytes));

        if (InterimResponses::isInterim(parser->get().result_int()))
            co_return Error(ErrorCode::Malformed, endpoint.toString() + ": interim answers, but no final one");
        connection.isAnswered = true;
        HttpResponse response;
        response.status = parser->get().result_int();
        response.headers = toHttpFields(parser->get());
        response.body = std::move(parser->get().body());
        co_return response;
    }

}

void HttpClient::fetch(Endpoint const& endpoint, HttpRequest httpRequest, Milliseconds timeout, Callback callback)
{
    auto& context = m_loop.native().context;
    Net::co_spawn(context, fetchResponse(context, endpoint, std::move(httpRequest), timeout, m_maxBodySize),
        [callback = std::move(callback)](std::exception_ptr const& exception, Result<HttpResponse> result) {
            if (exception)
                std::rethrow_exception(exception);
            callback(std::move(result));
        });
}

}
