#include <LibRouting/RoutingMessage.h>

#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>
#include <algorithm>

namespace Stagepost {

namespace {

    // Waits are encoded in milliseconds.
    constexpr Microseconds waitUnit { 1000 };

    // A lease request's priority, final-attempt flag and mode are packed into one number.
    constexpr uint64_t urgentBit = 1;
    constexpr uint64_t finalAttemptBit = 2;
    constexpr uint64_t modeShift = 2;

    void writeLease(MessageWriter& writer, LeaseId lease)
    {
        writer.number(lease.value() & 0xffffffffu);
    }

    LeaseId readLease(MessageReader& reader, VMId entry)
    {
        return makeLeaseId(entry, static_cast<uint32_t>(reader.number()));
    }

    void writeWait(MessageWriter& writer, Microseconds wait)
    {
        writer.number(static_cast<uint64_t>(std::max<int64_t>(0, (wait + waitUnit - Microseconds(1)) / waitUnit)));
    }

    Microseconds readWait(MessageReader& reader)
    {
        constexpr uint64_t maxEncodedWait = 1u << 30;
        return waitUnit * static_cast<int64_t>(std::min(reader.number(), maxEncodedWait));
    }

    void write(MessageWriter& writer, LeaseRequest const& request)
    {
        writeLease(writer, request.lease);
        writer.id(request.upstream);
        writer.id(request.chat);
        writer.id(request.organisation);
        writer.number((request.priority == Priority::Urgent ? urgentBit : 0) | (request.isFinalAttempt ? finalAttemptBit : 0) | static_cast<uint64_t>(request.mode) << modeShift);
        writer.number(request.contextTokens);
        writeWait(writer, request.maxWait);
    }

    void write(MessageWriter& writer, LeaseResponse const& response)
    {
        writeLease(writer, response.lease);
        writer.number(static_cast<uint64_t>(response.kind));
        if (response.kind == LeaseResponseKind::Granted)
            writer.number(response.holdsContext);
        else
            writeWait(writer, response.estimate);
        if (response.kind == LeaseResponseKind::Full)
            writer.number(response.load);
        if (response.kind == LeaseResponseKind::NotHeld)
            writer.id(response.movedTo.value_or(UpstreamId {}));
        if (response.kind == LeaseResponseKind::Refused)
            writer.number(static_cast<uint64_t>(response.reason));
    }

    void write(MessageWriter& writer, LeaseRelease const& release)
    {
        writeLease(writer, release.lease);
        writer.number(static_cast<uint64_t>(release.outcome));
    }

    void write(MessageWriter& writer, LeaseRenewal const& renewal)
    {
        writer.id(renewal.upstream);
        writer.number(renewal.leases.size());
        for (auto const& entry : renewal.leases) {
            writer.id(entry.lease);
            writer.id(entry.chat);
            writer.number(entry.contextTokens);
        }
    }

    void write(MessageWriter& writer, ChatMoved const& moved)
    {
        writer.id(moved.upstream);
        writer.id(moved.chat);
        writer.id(moved.to);
    }

    void write(MessageWriter& writer, PoolReport const& report)
    {
        writer.id(report.pool);
        writer.number(report.load);
        writer.number(report.upstreams);
    }

    void write(MessageWriter& writer, DemandReport const& report)
    {
        writer.id(report.organisation);
        writer.number(report.arrivals);
        writer.number(report.inFlight);
    }

    void write(MessageWriter& writer, DemandShare const& share)
    {
        writer.id(share.organisation);
        writer.number(share.rateMillionths);
        writer.number(share.inFlightMillionths);
    }

    // Reads an enumerator. A number above the last one makes the datagram invalid.
    template <typename Enum>
    Enum readEnumerator(MessageReader& reader, Enum last, bool& isValid)
    {
        auto const value = reader.number();
        if (value > static_cast<uint64_t>(last)) {
            isValid = false;
            return {};
        }
        return static_cast<Enum>(value);
    }

    LeaseRequest readLeaseRequest(MessageReader& reader, VMId from, bool& isValid)
    {
        LeaseRequest request;
        request.lease = readLease(reader, from);
        request.upstream = reader.id<UpstreamId>();
        request.chat = reader.id<ChatId>();
        request.organisation = reader.id<OrganisationId>();
        auto const flags = reader.number();
        request.priority = flags & urgentBit ? Priority::Urgent : Priority::Bulk;
        request.isFinalAttempt = (flags & finalAttemptBit) != 0;
        if (flags >> modeShift > static_cast<uint64_t>(LeaseRequestMode::IgnoreMove))
            isValid = false;
        else
            request.mode = static_cast<LeaseRequestMode>(flags >> modeShift);
        request.contextTokens = static_cast<uint32_t>(reader.number());
        request.maxWait = readWait(reader);
        return request;
    }

    LeaseResponse readLeaseResponse(MessageReader& reader, VMId self, bool& isValid)
    {
        LeaseResponse response;
        response.lease = readLease(reader, self);
        response.kind = readEnumerator(reader, LeaseResponseKind::Refused, isValid);
        if (response.kind == LeaseResponseKind::Granted)
            response.holdsContext = reader.number() != 0;
        else
            response.estimate = readWait(reader);
        if (response.kind == LeaseResponseKind::Full)
            response.load = reader.number();
        if (response.kind == LeaseResponseKind::NotHeld) {
            if (auto const moved = reader.id<UpstreamId>(); !moved.isNull())
                response.movedTo = moved;
        }
        auto const lastReason = static_cast<RefusalReason>(static_cast<int>(RefusalReason::Count) - 1);
        if (response.kind == LeaseResponseKind::Refused)
            response.reason = readEnumerator(reader, lastReason, isValid);
        return response;
    }

    LeaseRelease readLeaseRelease(MessageReader& reader, VMId from, bool& isValid)
    {
        LeaseRelease release;
        release.lease = readLease(reader, from);
        release.outcome = readEnumerator(reader, LeaseOutcome::Unused, isValid);
        return release;
    }

    LeaseRenewal readLeaseRenewal(MessageReader& reader, VMId from)
    {
        LeaseRenewal renewal;
        renewal.upstream = reader.id<UpstreamId>();
        auto const count = reader.count();
        for (size_t index = 0; index < count && !reader.failed(); ++index) {
            LeaseRenewal::Entry entry;
            entry.lease = readLease(reader, from);
            entry.chat = reader.id<ChatId>();
            entry.contextTokens = static_cast<uint32_t>(reader.number());
            renewal.leases.push_back(entry);
        }
        return renewal;
    }

    RoutingMessage readMessage(size_t kind, MessageReader& reader, VMId from, VMId self, bool& isValid)
    {
        switch (kind) {
        case 0:
            return readLeaseRequest(reader, from, isValid);
        case 1:
            return readLeaseResponse(reader, self, isValid);
        case 2:
            return readLeaseRelease(reader, from, isValid);
        case 3:
            return readLeaseRenewal(reader, from);
        case 4: {
            auto const upstream = reader.id<UpstreamId>();
            auto const chat = reader.id<ChatId>();
            return ChatMoved { upstream, chat, reader.id<UpstreamId>() };
        }
        case 5: {
            auto const pool = reader.id<PoolId>();
            auto const load = reader.number();
            return PoolReport { pool, load, reader.number() };
        }
        case 6: {
            auto const organisation = reader.id<OrganisationId>();
            auto const arrivals = reader.number();
            return DemandReport { organisation, arrivals, reader.number() };
        }
        case 7: {
            auto const organisation = reader.id<OrganisationId>();
            auto const rate = reader.number();
            return DemandShare { organisation, rate, reader.number() };
        }
        default:
            isValid = false;
            return LeaseRelease {};
        }
    }
    static_assert(std::variant_size_v<RoutingMessage> == 8);

}

std::string encodeMessages(std::vector<RoutingMessage> const& messages)
{
    MessageWriter writer;
    for (auto const& message : messages) {
        writer.number(message.index());
        std::visit([&](auto const& body) { write(writer, body); }, message);
    }
    return writer.release();
}

Result<std::vector<RoutingMessage>> decodeMessages(std::string_view bytes, VMId from, VMId self)
{
    MessageReader reader(bytes);
    std::vector<RoutingMessage> messages;
    bool isValid = true;
    while (isValid && !reader.failed() && !reader.finished())
        messages.push_back(readMessage(reader.number(), reader, from, self, isValid));
    if (!isValid || reader.failed())
        return Error(ErrorCode::Malformed, "the datagram from another daemon is malformed");
    return messages;
}

}
