#include <LibSettings/Publication.h>

#include <nlohmann/json.hpp>

namespace Stagepost {

namespace {

    using Json = nlohmann::json;

    constexpr char const* changeName = "change";
    constexpr char const* snapshotName = "snapshot";

}

std::string Publication::toRecord() const
{
    Json json {
        { "kind", kind == Kind::Change ? changeName : snapshotName },
        { "revision", revision.value() },
        { "nonce", nonce },
        { "author", author },
        { "toml", toml },
    };
    if (kind == Kind::Snapshot)
        json["up_to"] = upTo.value();
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<Publication> Publication::fromRecord(std::string_view record)
{
    auto const json = Json::parse(record, nullptr, false);
    auto const hasText = [&](char const* key) { return json.contains(key) && json[key].is_string(); };
    auto const hasNumber = [&](char const* key) { return json.contains(key) && json[key].is_number_unsigned(); };
    if (!json.is_object() || !hasText("kind") || !hasNumber("revision") || !hasText("nonce") || !hasText("author") || !hasText("toml"))
        return Error(ErrorCode::Malformed, "not a JSON object with the fields of a publication");
    Publication publication;
    auto const kind = json["kind"].get<std::string>();
    if (kind == snapshotName) {
        if (!hasNumber("up_to"))
            return Error(ErrorCode::Malformed, "a snapshot without up_to");
        publication.kind = Kind::Snapshot;
        publication.upTo = Offset(json["up_to"].get<uint64_t>());
    } else if (kind != changeName) {
        return Error(ErrorCode::Malformed, "unknown kind of publication '" + kind + "'");
    }
    publication.revision = Revision(json["revision"].get<uint64_t>());
    publication.nonce = json["nonce"].get<std::string>();
    publication.author = json["author"].get<std::string>();
    publication.toml = json["toml"].get<std::string>();
    return publication;
}

}
