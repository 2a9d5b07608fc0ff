#include <LibOnce/ClaimRecord.h>

#include <LibBase/Hex.h>
#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>

namespace Stagepost {

std::string ClaimRecord::encode(std::vector<ClaimRecord> const& records)
{
    MessageWriter writer;
    for (auto const& record : records) {
        writer.number(static_cast<uint64_t>(record.step));
        writer.number(record.key.high);
        writer.number(record.key.low);
        writer.number(static_cast<uint64_t>(record.key.createdAt));
        writer.number(record.nonce);
        if (record.step == Step::Claim)
            writer.number(record.fingerprint);
        if (record.step == Step::Done) {
            writer.number(record.response.status);
            writer.text(record.response.contentType);
            writer.text(record.response.body);
            writer.number(record.response.isComplete);
        }
    }
    // Log records must be text.
    return bytesToHex(writer.release());
}

Result<std::vector<ClaimRecord>> ClaimRecord::decode(std::string_view text)
{
    MessageReader reader(hexToBytes(text));
    std::vector<ClaimRecord> records;
    while (!reader.failed() && !reader.finished()) {
        ClaimRecord record;
        auto const step = reader.number();
        if (step > static_cast<uint64_t>(Step::LogRestored))
            return Error(ErrorCode::Malformed, "unknown step " + std::to_string(step) + " in a claim record");
        record.step = static_cast<Step>(step);
        record.key.high = reader.number();
        record.key.low = reader.number();
        record.key.createdAt = static_cast<int64_t>(reader.number());
        record.nonce = reader.number();
        if (record.step == Step::Claim)
            record.fingerprint = reader.number();
        if (record.step == Step::Done) {
            record.response.status = static_cast<unsigned>(reader.number());
            record.response.contentType = reader.text();
            record.response.body = reader.text();
            record.response.isComplete = reader.number() != 0;
        }
        records.push_back(std::move(record));
    }
    if (reader.failed())
        return Error(ErrorCode::Malformed, "truncated or damaged claim record");
    return records;
}

}
