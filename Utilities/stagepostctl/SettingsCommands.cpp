#include <stagepostctl/Commands.h>

#include <LibSettings/FleetSettings.h>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <random>
#include <stagepostctl/FleetConnection.h>
#include <stagepostctl/SettingsLog.h>
#include <thread>
#include <unistd.h>

namespace Stagepost {

namespace {

    using Json = nlohmann::json;

    constexpr unsigned recordPollAttempts = 20;
    constexpr Milliseconds recordPollInterval { 250 };
    constexpr Milliseconds statusPollInterval { 50 };

    Result<std::string> readFileArgument(CommandLine const& line)
    {
        if (line.arguments.size() != 1)
            return Error(ErrorCode::BadInput, line.command + " requires exactly one file name");
        std::ifstream file(line.arguments.front());
        if (!file)
            return Error(ErrorCode::NotFound, "cannot open " + line.arguments.front());
        return std::string(std::istreambuf_iterator<char>(file), {});
    }

    Result<Endpoint> requireLogEndpoint(CommandLine const& line)
    {
        if (!line.log)
            return Error(ErrorCode::BadInput, "--log (or STAGEPOST_LOG) is missing");
        return *line.log;
    }

    std::string newNonce()
    {
        std::random_device device;
        return std::to_string((uint64_t { device() } << 32) | device());
    }

    char const* nameOf(PublicationReader::Outcome outcome)
    {
        switch (outcome) {
        case PublicationReader::Outcome::Accepted:
            return "accepted";
        case PublicationReader::Outcome::Conflict:
            return "conflict";
        case PublicationReader::Outcome::Ignored:
            return "ignored";
        case PublicationReader::Outcome::Invalid:
            return "invalid";
        case PublicationReader::Outcome::Unknown:
            return "unknown";
        }
        return "unknown";
    }

    SettingsLog::Entry const* findChangeByNonce(SettingsLog const& log, std::string const& nonce)
    {
        auto const found = std::find_if(log.entries().begin(), log.entries().end(), [&](auto const& entry) {
            return entry.publication.nonce == nonce && entry.publication.kind == Publication::Kind::Change;
        });
        return found == log.entries().end() ? nullptr : &*found;
    }

    // Polls the log until it contains the change with this nonce. The reply to an append may be lost,
    // so only reading the log shows whether the record was appended. Error: PlatformDown.
    Result<SettingsLog::Entry> waitForRecord(SettingsLog& log, std::string const& nonce)
    {
        for (unsigned attempt = 0; attempt < recordPollAttempts; ++attempt) {
            if (log.refresh()) {
                if (auto const* entry = findChangeByNonce(log, nonce))
                    return *entry;
            }
            std::this_thread::sleep_for(recordPollInterval);
        }
        return Error(ErrorCode::PlatformDown, "the publication was not found in the log and may still appear; run 'stagepostctl history' before publishing again");
    }

    // Polls the daemons until all of them serve this revision or a later one, or until --timeout-ms
    // has passed. Returns the names of the VMs that do not, or a description of the failure if the
    // VM list cannot be read.
    std::vector<std::string> waitUntilInForce(CommandLine const& line, EventLoop& loop, Revision revision)
    {
        FleetConnection fleet(loop, *line.vmList, line.operatorToken);
        auto const end = MonotonicClock::now() + Milliseconds(line.timeoutMs);
        while (true) {
            std::vector<std::string> outdatedVMs;
            auto const vms = fleet.entryVMs();
            if (!vms)
                return { "unknown VMs: cannot read the VM list (" + vms.error().message() + ')' };
            for (auto const& vm : *vms) {
                auto const status = fleet.call(vm, "status");
                if (!status || Json::parse(*status).value("revision", uint64_t { 0 }) < revision.value())
                    outdatedVMs.push_back(vm.name);
            }
            if (outdatedVMs.empty() || MonotonicClock::now() >= end)
                return outdatedVMs;
            if (isatty(STDERR_FILENO))
                std::cerr << "\rwaiting for " << outdatedVMs.size() << " of " << vms->size() << " VMs " << std::flush;
            std::this_thread::sleep_for(statusPollInterval);
        }
    }

    ExitCode reportInForce(CommandLine const& line, EventLoop& loop, Revision revision)
    {
        if (!line.vmList || line.operatorToken.empty()) {
            std::cout << "revision=" << revision.value() << " accepted=true in_force=unknown\n";
            return ExitCode::Done;
        }
        auto const outdatedVMs = waitUntilInForce(line, loop, revision);
        std::cout << "revision=" << revision.value() << " accepted=true in_force=" << (outdatedVMs.empty() ? "true" : "false") << '\n';
        for (auto const& name : outdatedVMs)
            std::cerr << "not in force on " << name << '\n';
        return outdatedVMs.empty() ? ExitCode::Done : ExitCode::NotInForce;
    }

    // Returns the organisations, pools and services that are missing from the new tree. Their
    // requests are refused as soon as the tree is in force.
    std::vector<std::string> findRemovedNodes(std::string const& inForce, SettingsTree const& next)
    {
        std::vector<std::string> removed;
        auto const before = SettingsTree::parse(inForce);
        if (!before)
            return removed;
        for (auto const* root : { "organisations", "pools", "services" }) {
            auto const kept = next.leaves(root);
            for (auto const& path : before->leaves(root)) {
                if (std::find(kept.begin(), kept.end(), path) == kept.end())
                    removed.push_back(path);
            }
        }
        return removed;
    }

    Result<void> checkRemovals(CommandLine const& line, SettingsLog const& log, SettingsTree const& next)
    {
        if (line.allowsRemovals || !log.accepted())
            return {};
        auto const removed = findRemovedNodes(log.accepted()->toml, next);
        if (removed.empty())
            return {};
        std::string detail = "this would take away";
        for (auto const& path : removed)
            detail.append(" ").append(path);
        return Error(ErrorCode::Conflict, detail.append("; give --allow-removals to do it"));
    }

}

ExitCode fail(Error const& error, ExitCode code)
{
    std::cerr << "stagepostctl: " << error.detail << '\n';
    return error.code == make_error_code(ErrorCode::BadInput) && code == ExitCode::Failed ? ExitCode::Usage : code;
}

ExitCode checkFile(CommandLine const& line)
{
    auto const text = readFileArgument(line);
    if (!text)
        return fail(text.error());
    if (auto const tree = parseValidTree(*text); !tree)
        return fail(tree.error(), ExitCode::Usage);
    std::cout << "ok\n";
    return ExitCode::Done;
}

ExitCode hashToken(CommandLine const&)
{
    std::string token;
    std::getline(std::cin, token);
    if (token.empty())
        return fail(Error(ErrorCode::BadInput, "expected a token on standard input"));
    std::cout << hashOfToken(token) << '\n';
    return ExitCode::Done;
}

ExitCode publishFile(CommandLine const& line)
{
    auto const text = readFileArgument(line);
    if (!text)
        return fail(text.error());
    auto const tree = parseValidTree(*text);
    if (!tree)
        return fail(tree.error(), ExitCode::Usage);
    auto const endpoint = requireLogEndpoint(line);
    if (!endpoint)
        return fail(endpoint.error());
    EventLoop loop;
    SettingsLog log(loop, *endpoint);
    if (auto const read = log.refresh(); !read)
        return fail(read.error());
    if (!log.accepted() && !line.base)
        return fail(Error(ErrorCode::NotFound, "the records retained in the log do not determine the revision in force; specify --base"));
    if (auto const allowed = checkRemovals(line, log, *tree); !allowed)
        return fail(allowed.error());
    Publication publication;
    publication.revision = line.base ? Revision(*line.base) : log.accepted()->revision;
    publication.nonce = newNonce();
    publication.author = line.author;
    publication.toml = *text;
    auto const appended = log.append(publication);
    if (!appended && appended.error().code == make_error_code(ErrorCode::Unreachable))
        return fail(appended.error());
    auto const entry = waitForRecord(log, publication.nonce);
    if (!entry)
        return fail(entry.error());
    if (entry->outcome == PublicationReader::Outcome::Accepted)
        return reportInForce(line, loop, entry->revision);
    std::cerr << "stagepostctl: publication not accepted (" << nameOf(entry->outcome) << "): based on revision " << publication.revision.value()
              << ", revision in force " << entry->revision.value() << "; run 'stagepostctl diff' and publish again\n";
    return ExitCode::Conflict;
}

ExitCode showSettings(CommandLine const& line)
{
    auto const endpoint = requireLogEndpoint(line);
    if (!endpoint)
        return fail(endpoint.error());
    EventLoop loop;
    SettingsLog log(loop, *endpoint);
    if (auto const read = log.refresh(); !read)
        return fail(read.error());
    if (!log.accepted() || log.accepted()->revision.isNull())
        return fail(Error(ErrorCode::NotFound, "no settings have been published"));
    if (line.arguments.empty()) {
        std::cout << log.accepted()->toml;
        return ExitCode::Done;
    }
    auto const tree = SettingsTree::parse(log.accepted()->toml);
    if (!tree)
        return fail(tree.error());
    Json json = Json::object();
    for (auto const& rule : settingRules()) {
        if (line.arguments.size() > 1 && rule.key != line.arguments[1])
            continue;
        auto const resolved = tree->resolve(line.arguments[0], rule.key);
        if (!resolved)
            return fail(resolved.error());
        json[std::string(rule.key)] = { { "value", formatSettingValue(resolved->value) }, { "from", resolved->from } };
        if (!line.wantsJson)
            std::cout << rule.key << " = " << formatSettingValue(resolved->value) << "  # from " << resolved->from << '\n';
    }
    if (line.arguments.size() > 1 && json.empty())
        return fail(tree->resolve(line.arguments[0], line.arguments[1]).error());
    if (line.wantsJson)
        std::cout << json.dump() << '\n';
    return ExitCode::Done;
}

ExitCode showDifference(CommandLine const& line)
{
    auto const text = readFileArgument(line);
    auto const endpoint = requireLogEndpoint(line);
    if (!text || !endpoint)
        return fail(text ? endpoint.error() : text.error());
    auto const after = parseValidTree(*text);
    if (!after)
        return fail(after.error());
    EventLoop loop;
    SettingsLog log(loop, *endpoint);
    if (auto const read = log.refresh(); !read)
        return fail(read.error());
    auto const before = SettingsTree::parse(log.accepted() ? log.accepted()->toml : "");
    if (!before)
        return fail(before.error());
    for (auto const& difference : SettingsTree::difference(*before, *after))
        std::cout << difference << '\n';
    return ExitCode::Done;
}

ExitCode showHistory(CommandLine const& line)
{
    auto const endpoint = requireLogEndpoint(line);
    if (!endpoint)
        return fail(endpoint.error());
    EventLoop loop;
    SettingsLog log(loop, *endpoint);
    if (auto const read = log.refresh(); !read)
        return fail(read.error());
    Json rows = Json::array();
    for (auto const& entry : log.entries()) {
        bool const isSnapshot = entry.publication.kind == Publication::Kind::Snapshot;
        rows.push_back({ { "offset", entry.offset.value() }, { "kind", isSnapshot ? "snapshot" : "change" }, { "base", entry.publication.revision.value() },
            { "outcome", nameOf(entry.outcome) }, { "revision", entry.revision.value() }, { "author", entry.publication.author } });
        if (!line.wantsJson) {
            std::cout << "offset=" << entry.offset.value() << " kind=" << (isSnapshot ? "snapshot" : "change") << " base=" << entry.publication.revision.value()
                      << " outcome=" << nameOf(entry.outcome) << " revision=" << entry.revision.value() << " author=" << entry.publication.author << '\n';
        }
    }
    if (line.wantsJson)
        std::cout << rows.dump() << '\n';
    return ExitCode::Done;
}

}
