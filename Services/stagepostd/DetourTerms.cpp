#include <stagepostd/DetourTerms.h>

#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>

namespace Stagepost {

std::string DetourTerms::encode() const
{
    MessageWriter writer;
    writer.number(settingsVersion);
    writer.number(sendsLeft);
    writer.number(isCounted ? 1 : 0);
    writer.text(service);
    writer.text(id);
    // Daemons that don't know of it read terms without it.
    if (streamVersion)
        writer.id(*streamVersion);
    return writer.release();
}

Result<DetourTerms> DetourTerms::decode(VMId from, std::string_view bytes)
{
    MessageReader reader(bytes);
    DetourTerms terms;
    terms.from = from;
    terms.settingsVersion = reader.number();
    terms.sendsLeft = reader.number();
    terms.isCounted = reader.number() != 0;
    terms.service = reader.text();
    terms.id = reader.text();
    if (!reader.finished())
        terms.streamVersion = reader.id<VersionId>();
    if (!reader.finished())
        return Error { ErrorCode::Malformed, "malformed terms of a detoured request" };
    return terms;
}

}
