#include <LibMembership/UpstreamRecordRules.h>

#include <LibBase/Utf8.h>
#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace Stagepost {

namespace {

    // The store's keys have a length of one byte, and the names of instances, services and halls are parts of keys. The
    // same limit keeps a version, which no key contains, and with it a record within one datagram between daemons.
    constexpr size_t maxNameBytes = 255;
    // More than any engine has. A larger value would direct all requests to one upstream.
    constexpr size_t maxSlots = 65536;
    constexpr Milliseconds maxColdTime { 3600000 }; // Upstreams are slow for seconds after their start only.
    // The first byte of addresses: those of "this network" below, those of multicast, reserved and broadcast from the
    // second on. None of them can be connected to.
    constexpr unsigned firstUnicast = 1;
    constexpr unsigned firstMulticast = 224;

    Error fault(UpstreamRecord const& record, char const* field, char const* what)
    {
        constexpr size_t maxShownBytes = 80;
        return { ErrorCode::BadInput, record.instance.substr(0, maxShownBytes) + '.' + field + ' ' + what };
    }

    bool hasControlCharacters(std::string_view text)
    {
        return std::any_of(text.begin(), text.end(), isControlCharacter);
    }

    // Names are parts of header fields, log lines and the store's keys. A header field loses the spaces around it, so an
    // upstream would not recognise its own name.
    bool isName(std::string_view text)
    {
        return !text.empty() && text.size() <= maxNameBytes && text.front() != ' ' && text.back() != ' ' && !hasControlCharacters(text) && isValidUtf8(text);
    }

    bool isUnicastAddress(std::string const& host)
    {
        in_addr address {};
        if (inet_pton(AF_INET, host.c_str(), &address) != 1)
            return false;
        auto const first = ntohl(address.s_addr) >> 24;
        return first >= firstUnicast && first < firstMulticast;
    }

    bool isPort(std::string_view text)
    {
        uint16_t port = 0;
        auto const [end, failure] = std::from_chars(text.data(), text.data() + text.size(), port);
        return failure == std::errc {} && end == text.data() + text.size() && port > 0;
    }

    bool canBeConnectedTo(std::string const& address)
    {
        auto const colon = address.find(':');
        // The host is passed on as a text that ends at a zero byte.
        return colon != std::string::npos && !hasControlCharacters(address) && isUnicastAddress(address.substr(0, colon)) && isPort(std::string_view(address).substr(colon + 1));
    }

}

Result<void> checkUpstreamRecord(UpstreamRecord const& record)
{
    constexpr auto nameRule = "must have 1 to 255 bytes of UTF-8 without control characters and spaces around it";
    if (!isName(record.instance))
        return fault(record, "instance", nameRule);
    if (!isName(record.service))
        return fault(record, "service", nameRule);
    if (!isName(record.hall))
        return fault(record, "zone", nameRule);
    // Daemons of earlier versions pass records on without it.
    if (!record.version.empty() && !isName(record.version))
        return fault(record, "version", nameRule);
    if (!canBeConnectedTo(record.address))
        return fault(record, "address", "is not IP:PORT of a host that can be connected to");
    if (record.slots < 1 || record.slots > maxSlots)
        return fault(record, "slots", "is out of range");
    if (record.coldLeft < Milliseconds(0) || record.coldLeft > maxColdTime)
        return fault(record, "coldLeftMs", "is out of range");
    return {};
}

}
