#pragma once

#include <LibProxy/Detail/Native.h>
#include <string>
#include <vector>

namespace Stagepost::Measure {

// Timing and result of one call.
struct CallTiming {
    double firstByteSeconds { 0 };
    double totalSeconds { 0 };
    size_t chunks { 0 };
    bool isOk { false };
};

// An HTTP client that makes its calls one after another on a single connection.
class LoadClient {
public:
    LoadClient(Net::io_context& context, Endpoint server, std::string token)
        : m_server(std::move(server))
        , m_token(std::move(token))
        , m_stream(context)
    {
    }

    Net::awaitable<bool> connect();
    // Requests a streamed chat completion and reads it to its end.
    Net::awaitable<CallTiming> chat(std::string model, std::string chat, size_t tokens);
    Net::awaitable<CallTiming> get(std::string target);
    // Sends a POST request with a body and one extra header field, such as a ticket or an idempotency key.
    Net::awaitable<CallTiming> post(std::string target, std::string field, std::string value);
    // Sends a POST request and returns the body of the response, or an empty string on failure.
    Net::awaitable<std::string> fetch(std::string target);
    // Requests a streamed chat completion and reads only the response header, so that the stream stays open.
    Net::awaitable<bool> open(std::string model, std::string chat, size_t tokens);

private:
    using Request = Http::request<Http::string_body>;
    Request chatRequest(std::string const& model, std::string const& chat, size_t tokens) const;
    Net::awaitable<CallTiming> exchange(Request);

    Endpoint m_server;
    std::string m_token;
    TcpStream m_stream;
    Beast::flat_buffer m_buffer;
};

}
