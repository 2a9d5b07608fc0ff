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
        AskWithContext,
    };

    // Of the number at the end of an answer; daemons of earlier versions send the first alone.
    constexpr uint64_t exhaustedFlag = 1;
    constexpr uint64_t newThereFlag = 2;

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
        if (ask.context)
            writer.number(*ask.context);
        if (ask.cold)
            write(writer, *ask.cold);
    }

    void write(MessageWriter& writer, LedgerAnswer const& answer)
    {
        writer.number(answer.number);
        writer.number(answer.isGranted ? 1 : 0);
        writer.number(answer.count);
        auto const flags = (answer.isExhausted ? exhaustedFlag : 0) | (answer.isNewThere ? newThereFlag : 0);
        if (flags)
            writer.number(flags);
    }

    void write(MessageWriter& writer, LedgerReport const& report)
    {
        writer.id(report.upstream);
        writer.number(report.ownInFlight);
    }

    LedgerAsk readAsk(MessageReader& reader, bool hasContext)
    {
        LedgerAsk ask;
        ask.number = reader.number();
        ask.upstream = reader.id<UpstreamId>();
        ask.ownInFlight = reader.number();
        ask.limit = reader.number();
        if (hasContext)
            ask.context = reader.number();
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
        auto const flags = reader.finished() ? 0 : reader.number();
        answer.isExhausted = (flags & exhaustedFlag) != 0;
        answer.isNewThere = (flags & newThereFlag) != 0;
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
            return readAsk(reader, false);
        case Kind::AskWithContext:
            return readAsk(reader, true);
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
    auto const* ask = std::get_if<LedgerAsk>(&message);
    writer.number(ask && ask->context ? static_cast<uint64_t>(Kind::AskWithContext) : message.index());
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
