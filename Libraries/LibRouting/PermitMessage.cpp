#include <LibRouting/PermitMessage.h>

#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>
#include <algorithm>
#include <optional>

namespace Stagepost {

namespace {

    // Encoded in front of each message.
    enum class Kind : uint8_t {
        Request,
        Response,
        Report,
        RequestWithContext,
        Available,
        Replacement,
        Leaving,
    };

    Kind kindOf(PermitRequest const& request) { return request.context ? Kind::RequestWithContext : Kind::Request; }
    Kind kindOf(PermitResponse const&) { return Kind::Response; }
    Kind kindOf(InFlightReport const&) { return Kind::Report; }
    Kind kindOf(OwnerAvailable const&) { return Kind::Available; }
    Kind kindOf(OwnerLeaving const&) { return Kind::Leaving; }
    Kind kindOf(OwnerReplacement const&) { return Kind::Replacement; }

    // Bits of the optional last number of a response. Daemons of earlier versions only send the first.
    constexpr uint64_t exhaustedFlag = 1;
    constexpr uint64_t contextNewFlag = 2;

    // Rates are transmitted in thousandths of a request per second.
    constexpr double rateUnitsPerRequest = 1000;

    void write(MessageWriter& writer, ColdStartNotice const& notice)
    {
        writer.number(static_cast<uint64_t>(notice.bound.perSecond * rateUnitsPerRequest));
        writer.number(notice.bound.fleetLimit());
        writer.duration(notice.left);
    }

    // Only the resulting maximum is transmitted, so it is expressed as a rate plus slack.
    ColdStartNotice readColdStartNotice(MessageReader& reader)
    {
        ColdStartNotice notice;
        notice.bound.perSecond = static_cast<double>(reader.number()) / rateUnitsPerRequest;
        auto const most = static_cast<double>(reader.number());
        notice.bound.slack = std::max(0.0, most - notice.bound.perSecond);
        notice.left = reader.duration();
        return notice;
    }

    void write(MessageWriter& writer, PermitRequest const& request)
    {
        writer.number(request.requestId);
        writer.id(request.upstream);
        writer.number(request.ownInFlight);
        writer.number(request.limit);
        if (request.context)
            writer.number(*request.context);
        if (request.cold)
            write(writer, *request.cold);
    }

    void write(MessageWriter& writer, PermitResponse const& response)
    {
        writer.number(response.requestId);
        writer.number(response.isGranted ? 1 : 0);
        writer.number(response.count);
        auto const flags = (response.isExhausted ? exhaustedFlag : 0) | (response.isContextNew ? contextNewFlag : 0);
        if (flags)
            writer.number(flags);
    }

    void write(MessageWriter& writer, InFlightReport const& report)
    {
        writer.id(report.upstream);
        writer.number(report.ownInFlight);
    }

    void write(MessageWriter& writer, OwnerAvailable const& available) { writer.id(available.hall); }
    void write(MessageWriter&, OwnerLeaving const&) { }

    void write(MessageWriter& writer, OwnerReplacement const& replacement)
    {
        writer.id(replacement.owner);
        writer.number(replacement.isConfirmed ? 1 : 0);
    }

    PermitRequest readRequest(MessageReader& reader, bool hasContext)
    {
        PermitRequest request;
        request.requestId = reader.number();
        request.upstream = reader.id<UpstreamId>();
        request.ownInFlight = reader.number();
        request.limit = reader.number();
        if (hasContext)
            request.context = reader.number();
        if (!reader.finished())
            request.cold = readColdStartNotice(reader);
        return request;
    }

    PermitResponse readResponse(MessageReader& reader)
    {
        PermitResponse response;
        response.requestId = reader.number();
        response.isGranted = reader.number() != 0;
        response.count = reader.number();
        auto const flags = reader.finished() ? 0 : reader.number();
        response.isExhausted = (flags & exhaustedFlag) != 0;
        response.isContextNew = (flags & contextNewFlag) != 0;
        return response;
    }

    InFlightReport readReport(MessageReader& reader)
    {
        InFlightReport report;
        report.upstream = reader.id<UpstreamId>();
        report.ownInFlight = reader.number();
        return report;
    }

    OwnerReplacement readReplacement(MessageReader& reader)
    {
        OwnerReplacement replacement;
        replacement.owner = reader.id<VMId>();
        replacement.isConfirmed = reader.number() != 0;
        return replacement;
    }

    std::optional<PermitMessage> readMessage(MessageReader& reader)
    {
        switch (static_cast<Kind>(reader.number())) {
        case Kind::Request:
            return readRequest(reader, false);
        case Kind::RequestWithContext:
            return readRequest(reader, true);
        case Kind::Response:
            return readResponse(reader);
        case Kind::Report:
            return readReport(reader);
        case Kind::Available:
            return OwnerAvailable { reader.id<HallId>() };
        case Kind::Leaving:
            return OwnerLeaving {};
        case Kind::Replacement:
            return readReplacement(reader);
        }
        return {};
    }

}

std::string encodePermitMessage(PermitMessage const& message)
{
    MessageWriter writer;
    auto const encode = [&writer](auto const& each) {
        writer.number(static_cast<uint64_t>(kindOf(each)));
        write(writer, each);
    };
    std::visit(encode, message);
    return writer.release();
}

Result<PermitMessage> decodePermitMessage(std::string_view bytes)
{
    MessageReader reader(bytes);
    auto const message = readMessage(reader);
    if (!message || !reader.finished())
        return Error { ErrorCode::Malformed, "malformed permit message" };
    return *message;
}

}
