#include <LibRollout/RolloutMessage.h>

#include <optional>

namespace Stagepost {

namespace {

    // The first element of a message.
    enum class Kind : uint64_t {
        EvidenceReport = 1,
        EvidenceReply = 2,
        HallReport = 3,
    };

    void writeKind(MessageWriter& writer, Kind kind)
    {
        writer.number(static_cast<uint64_t>(kind));
    }

    void writePhase(MessageWriter& writer, RolloutPhase phase)
    {
        writer.number(static_cast<uint64_t>(phase));
    }

    void writeMessage(MessageWriter& writer, EvidenceReport const& report)
    {
        writeKind(writer, Kind::EvidenceReport);
        writer.id(report.order);
        writer.number(report.process);
        writer.number(report.sentAt);
        writePhase(writer, report.phase);
        writer.number(report.hasMoved ? 1 : 0);
        writer.number(report.needsReply ? 1 : 0);
        write(writer, report.evidence);
    }

    void writeMessage(MessageWriter& writer, EvidenceReply const& reply)
    {
        writeKind(writer, Kind::EvidenceReply);
        writer.id(reply.order);
        writer.number(reply.sentAt);
        writePhase(writer, reply.phase);
        writer.number(reply.renewsLease ? 1 : 0);
    }

    void writeMessage(MessageWriter& writer, HallReport const& report)
    {
        writeKind(writer, Kind::HallReport);
        writer.id(report.order);
        writer.number(report.process);
        writer.number(report.sentAt);
        writer.number(report.echoOf);
        writer.id(report.hall);
        writePhase(writer, report.phase);
        writer.number(report.daemonsNotMoved);
        writer.number(report.blocksOthers ? 1 : 0);
        write(writer, report.evidence);
    }

    EvidenceReport readEvidenceReport(MessageReader& reader)
    {
        EvidenceReport report;
        report.order = reader.id<RolloutId>();
        report.process = reader.number();
        report.sentAt = reader.number();
        report.phase = readRolloutPhase(reader);
        report.hasMoved = reader.number() != 0;
        report.needsReply = reader.number() != 0;
        report.evidence = readRolloutEvidence(reader);
        return report;
    }

    EvidenceReply readEvidenceReply(MessageReader& reader)
    {
        EvidenceReply reply;
        reply.order = reader.id<RolloutId>();
        reply.sentAt = reader.number();
        reply.phase = readRolloutPhase(reader);
        reply.renewsLease = reader.number() != 0;
        return reply;
    }

    HallReport readHallReport(MessageReader& reader)
    {
        HallReport report;
        report.order = reader.id<RolloutId>();
        report.process = reader.number();
        report.sentAt = reader.number();
        report.echoOf = reader.number();
        report.hall = reader.id<HallId>();
        report.phase = readRolloutPhase(reader);
        report.daemonsNotMoved = reader.number();
        report.blocksOthers = reader.number() != 0;
        report.evidence = readRolloutEvidence(reader);
        return report;
    }

    std::optional<RolloutMessage> readMessage(MessageReader& reader)
    {
        switch (static_cast<Kind>(reader.number())) {
        case Kind::EvidenceReport:
            return readEvidenceReport(reader);
        case Kind::EvidenceReply:
            return readEvidenceReply(reader);
        case Kind::HallReport:
            return readHallReport(reader);
        }
        return std::nullopt;
    }

}

std::string encodeRolloutMessage(RolloutMessage const& message)
{
    MessageWriter writer;
    std::visit([&](auto const& alternative) { writeMessage(writer, alternative); }, message);
    return writer.release();
}

Result<RolloutMessage> decodeRolloutMessage(std::string_view bytes)
{
    MessageReader reader(bytes);
    auto message = readMessage(reader);
    if (!message || !reader.finished())
        return Error(ErrorCode::Malformed, "roll-out message");
    return std::move(*message);
}

}
