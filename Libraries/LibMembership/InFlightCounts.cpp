#include <LibMembership/InFlightCounts.h>

#include <algorithm>
#include <limits>

namespace Stagepost {

namespace {

    constexpr uint64_t maxByte = std::numeric_limits<unsigned char>::max();

    void appendByte(std::string& bytes, uint64_t value)
    {
        bytes += static_cast<char>(static_cast<unsigned char>(std::min(value, maxByte)));
    }

    void appendZeroRun(std::string& bytes, uint64_t length)
    {
        for (; length; length -= std::min(length, maxByte)) {
            appendByte(bytes, 0);
            appendByte(bytes, length);
        }
    }

}

std::string packCounts(UpstreamList const& list, InFlightTotals const& counts)
{
    std::string bytes;
    uint64_t zeros = 0;
    for (auto const id : list) {
        auto const found = counts.find(id);
        if (found == counts.end() || !found->second) {
            ++zeros;
            continue;
        }
        appendZeroRun(bytes, zeros);
        zeros = 0;
        appendByte(bytes, found->second);
    }
    appendZeroRun(bytes, zeros);
    return bytes;
}

Result<std::vector<UpstreamInFlight>> unpackCounts(UpstreamList const& list, std::string_view packed)
{
    std::vector<UpstreamInFlight> result;
    size_t position = 0;
    for (size_t index = 0; index < packed.size(); ++index) {
        if (auto const count = static_cast<unsigned char>(packed[index])) {
            if (position >= list.size())
                return Error(ErrorCode::Malformed, "packed counts exceed the upstream list");
            result.push_back({ list[position++], count });
            continue;
        }
        if (++index == packed.size())
            return Error(ErrorCode::Malformed, "packed counts end within a zero run");
        position += static_cast<unsigned char>(packed[index]);
    }
    if (position != list.size())
        return Error(ErrorCode::Malformed, "packed counts don't match the length of the upstream list");
    return result;
}

}
