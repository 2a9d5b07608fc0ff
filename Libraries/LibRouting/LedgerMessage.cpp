#include <LibRouting/LedgerMessage.h>

#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>
#include <algorithm>
#include <optional>

namespace Stagepost {

namespace {

    // The order is the wire's: an alternative's number stands before it.
    enum class Kind : uint8_t {
        Ask,
        Answer,
        Report,
    };

    // Of a rate, what is told: thousandths of a request a second.
    constexpr double rateUnit = 1000;

    void write(MessageWriter& writer, ColdNotice const& notice)
    {
        writer.number(static_cast<uint64_t>(notice.bound.perSecond * rateUnit));
        writer.number(notice.bound.most());
        writer.duration(notice.left);
    }

    // The bound as a sum: how it came about does not matter to the owner.
    ColdNotice readColdNotice(MessageReader& reader)
    {
        ColdNotice notice;
        notice.bound.perSecond = static_cast<double>(reader.number()) / rateUnit;
        auto const most = static_cast<double>(reader.number());
        notice.bound.slack = std::max(0.0, most - notice.bound.perSecond);
        notice.left = reader.duration();
        return notice;
    }

    void write(MessageWriter& writer, LedgerAsk const& ask)
    {
        writer.number(ask.number);
        writer.id(ask.upstream);
        writer.number(ask.ownInFlight);
        writer.number(ask.limit);
        if (ask.cold)
            write(writer, *ask.cold);
    }

    void write(MessageWriter& writer, LedgerAnswer const& answer)
    {
        writer.number(answer.number);
        writer.number(answer.isGranted ? 1 : 0);
        writer.number(answer.count);
        if (answer.isExhausted)
            writer.number(1);
    }

    void write(MessageWriter& writer, LedgerReport const& report)
    {
        writer.id(report.upstream);
        writer.number(report.ownInFlight);
    }

    LedgerAsk readAsk(MessageReader& reader)
    {
        LedgerAsk ask;
        ask.number = reader.number();
        ask.upstream = reader.id<UpstreamId>();
        ask.ownInFlight = reader.number();
        ask.limit = reader.number();
        if (!reader.finished())
            ask.cold = readColdNotice(reader);
        return ask;
    }

    LedgerAnswer readAnswer(MessageReader& reader)
    {
        LedgerAnswer answer;
        answer.number = reader.number();
        answer.isGranted = reader.number() != 0;
        answer.count = reader.number();
        answer.isExhausted = !reader.finished() && reader.number() != 0;
        return answer;
    }

    LedgerReport readReport(MessageReader& reader)
    {
        LedgerReport report;
        report.upstream = reader.id<UpstreamId>();
        report.ownInFlight = reader.number();
        return report;
    }

    std::optional<LedgerMessage> readMessage(MessageReader& reader)
    {
        switch (static_cast<Kind>(reader.number())) {
        case Kind::Ask:
            return readAsk(reader);
        case Kind::Answer:
            return readAnswer(reader);
        case Kind::Report:
            return readReport(reader);
        }
        return {};
    }

}

std::string encodeLedgerMessage(LedgerMessage const& message)
{
    MessageWriter writer;
    writer.number(message.index());
    std::visit([&writer](auto const& each) { write(writer, each); }, message);
    return writer.release();
}

Result<LedgerMessage> decodeLedgerMessage(std::string_view bytes)
{
    MessageReader reader(bytes);
    auto const message = readMessage(reader);
    if (!message || !reader.finished())
        return Error { ErrorCode::Malformed, "not a message about requests in flight" };
    return *message;
}

}
