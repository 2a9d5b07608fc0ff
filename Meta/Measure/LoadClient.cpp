#include <Measure/LoadClient.h>

#include <array>

namespace Stagepost::Measure {

namespace {

    double secondsSince(std::chrono::steady_clock::time_point start)
    {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    }

}

Net::awaitable<bool> LoadClient::connect()
{
    auto [failure] = co_await m_stream.async_connect(toNativeEndpoint<Tcp>(m_server), useTuple);
    if (failure)
        co_return false;
    m_stream.socket().set_option(Tcp::no_delay(true));
    co_return true;
}

LoadClient::Request LoadClient::chatRequest(std::string const& model, std::string const& chat, size_t tokens) const
{
    Request request(Http::verb::post, "/v1/chat/completions", 11);
    request.set(Http::field::host, m_server.toString());
    request.set(Http::field::authorization, "Bearer " + m_token);
    request.set("Stagepost-Chat", chat);
    request.body() = "{\"model\":\"" + model + "\",\"stream\":true,\"max_tokens\":" + std::to_string(tokens) + ",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
    request.prepare_payload();
    return request;
}

Net::awaitable<CallTiming> LoadClient::chat(std::string model, std::string chat, size_t tokens)
{
    co_return co_await exchange(chatRequest(model, chat, tokens));
}

Net::awaitable<CallTiming> LoadClient::get(std::string target)
{
    Request request(Http::verb::get, target, 11);
    request.set(Http::field::host, m_server.toString());
    request.set(Http::field::authorization, "Bearer " + m_token);
    co_return co_await exchange(std::move(request));
}

Net::awaitable<CallTiming> LoadClient::post(std::string target, std::string field, std::string value)
{
    Request request(Http::verb::post, target, 11);
    request.set(Http::field::host, m_server.toString());
    request.set(Http::field::authorization, "Bearer " + m_token);
    request.set(field, value);
    request.body() = "{}";
    request.prepare_payload();
    co_return co_await exchange(std::move(request));
}

Net::awaitable<std::string> LoadClient::fetch(std::string target)
{
    Request request(Http::verb::post, target, 11);
    request.set(Http::field::host, m_server.toString());
    request.set(Http::field::authorization, "Bearer " + m_token);
    request.prepare_payload();
    auto [writeFailure, written] = co_await Http::async_write(m_stream, request, useTuple);
    Http::response<Http::string_body> response;
    auto [readFailure, size] = co_await Http::async_read(m_stream, m_buffer, response, useTuple);
    co_return writeFailure || readFailure ? std::string() : response.body();
}

Net::awaitable<CallTiming> LoadClient::exchange(Request request)
{
    CallTiming timing;
    auto const start = std::chrono::steady_clock::now();
    auto [writeFailure, written] = co_await Http::async_write(m_stream, request, useTuple);
    if (writeFailure)
        co_return timing;
    Http::response_parser<Http::buffer_body> parser;
    parser.body_limit(boost::none);
    auto [headerFailure, headerSize] = co_await Http::async_read_header(m_stream, m_buffer, parser, useTuple);
    timing.firstByteSeconds = secondsSince(start);
    std::array<char, 16384> chunk;
    while (!headerFailure && !parser.is_done()) {
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        auto [failure, size] = co_await Http::async_read_some(m_stream, m_buffer, parser, useTuple);
        if (failure && failure != Http::error::need_buffer)
            co_return timing;
        timing.chunks += parser.get().body().size < chunk.size();
    }
    timing.totalSeconds = secondsSince(start);
    timing.isOk = !headerFailure && parser.get().result_int() == 200;
    co_return timing;
}

Net::awaitable<bool> LoadClient::open(std::string model, std::string chat, size_t tokens)
{
    auto const request = chatRequest(model, chat, tokens);
    auto [writeFailure, written] = co_await Http::async_write(m_stream, request, useTuple);
    if (writeFailure)
        co_return false;
    Http::response_parser<Http::buffer_body> parser;
    auto [failure, size] = co_await Http::async_read_header(m_stream, m_buffer, parser, useTuple);
    co_return !failure && parser.get().result_int() == 200;
}

}
