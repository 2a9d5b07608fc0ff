#include <LibProxy/Endpoint.h>

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace Stagepost {

Result<Endpoint> Endpoint::parse(std::string_view text)
{
    // GCC 12 at -O3 reports a false overflow for operator+ here, so the text is appended.
    std::string detail = "'";
    detail.append(text);
    detail += "' is not IP:PORT, for example 127.0.0.1:8080";
    auto const error = Error(ErrorCode::BadInput, detail);
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return error;
    auto host = text.substr(0, colon);
    auto const portText = text.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code failure;
    auto const address = boost::asio::ip::make_address(host, failure);
    if (failure)
        return error;
    Endpoint endpoint;
    auto const [end, code] = std::from_chars(portText.data(), portText.data() + portText.size(), endpoint.port);
    if (code != std::errc() || end != portText.data() + portText.size())
        return error;
    endpoint.address = address.to_string();
    return endpoint;
}

std::string Endpoint::toString() const
{
    if (address.find(':') != std::string::npos)
        return '[' + address + "]:" + std::to_string(port);
    return address + ':' + std::to_string(port);
}

}
