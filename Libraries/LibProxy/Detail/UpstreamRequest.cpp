#include <LibProxy/Detail/UpstreamRequest.h>

#include <array>
#include <charconv>
#include <random>
#include <sstream>

namespace Stagepost {

namespace {

    // The most bytes of a body that are passed to the kernel at a time. A larger piece may fill the send buffer as a single
    // segment, and the upstream delays the acknowledgement of a single one by some 40 ms.
    constexpr size_t maxWriteSize = 16u << 10;

    // Refers to the body of the plan, which it keeps.
    struct Request {
        std::string head;
        HttpBody body;
    };

    std::string serializeHead(Http::request<Http::empty_body> const& message)
    {
        std::ostringstream text;
        text << message.base();
        return std::move(text).str();
    }

    Request buildRequest(ForwardPlan const& plan, std::string const& requestId)
    {
        Http::request<Http::empty_body> request;
        request.method_string(plan.request.method);
        request.target(plan.request.target);
        request.version(11);
        HttpFields headers = plan.request.headers;
        headers.removeFixedHopByHop();
        headers.remove("Content-Length");
        headers.remove("Expect");
        for (auto const& field : headers)
            request.insert(field.name, field.value);
        if (!plan.preserveHost)
            request.set(Http::field::host, plan.upstream.toString());
        request.set(plan.requestIdField, requestId);
        if (!plan.request.body.empty() || plan.request.method == "POST" || plan.request.method == "PUT")
            request.content_length(plan.request.body.size());
        return { serializeHead(request), plan.request.body };
    }

}

std::string generateRequestId()
{
    static uint64_t const process = (uint64_t { std::random_device {}() } << 32) | std::random_device {}();
    static uint64_t counter = 0;
    std::array<char, 40> text {};
    auto const size = std::snprintf(text.data(), text.size(), "%016llx-%llx", static_cast<unsigned long long>(process), static_cast<unsigned long long>(++counter));
    return std::string(text.data(), static_cast<size_t>(size));
}

void startWritingRequest(std::shared_ptr<UpstreamConnection> const& connection, ForwardPlan const& plan, std::string const& requestId)
{
    auto const request = std::make_shared<Request const>(buildRequest(plan, requestId));
    connection->isRequestWritten = false;
    connection->isAnswered = false;
    connection->sendBuffer.fit(connection->stream.socket(), plan.request.body.size());
    auto const bytes = request->body.bytes();
    std::array const buffers { Net::buffer(request->head), Net::buffer(bytes.data(), bytes.size()) };
    auto const sizeOfNextWrite = [](NetError failure, size_t) { return failure ? 0 : maxWriteSize; };
    Net::async_write(connection->stream, buffers, sizeOfNextWrite, [connection, request](NetError failure, size_t) {
        connection->isRequestWritten = !failure;
        connection->writeFailure = failure;
    });
}

std::optional<Seconds> parseKeepAliveTimeout(std::string_view keepAliveField)
{
    constexpr std::string_view key = "timeout=";
    auto const at = keepAliveField.find(key);
    if (at == std::string_view::npos)
        return {};
    auto const digits = keepAliveField.substr(at + key.size());
    int64_t seconds = 0;
    auto const [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return failure == std::errc() ? std::optional(Seconds(seconds)) : std::nullopt;
}

}
