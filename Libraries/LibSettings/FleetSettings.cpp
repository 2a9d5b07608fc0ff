#include <LibSettings/FleetSettings.h>

#include <array>
#include <sodium.h>

namespace Stagepost {

namespace {

    // Reads the resolved values of one node. Callers must use a key of the schema with its
    // type: an unknown key aborts, a wrong type throws std::bad_variant_access.
    class NodeReader {
    public:
        NodeReader(SettingsTree const& tree, std::string path)
            : m_tree(tree)
            , m_path(std::move(path))
        {
        }

        double number(std::string_view key) const { return std::get<double>(value(key)); }
        size_t count(std::string_view key) const { return static_cast<size_t>(std::get<int64_t>(value(key))); }
        bool flag(std::string_view key) const { return std::get<bool>(value(key)); }
        TextList list(std::string_view key) const { return std::get<TextList>(value(key)); }
        std::string text(std::string_view key) const { return std::get<std::string>(value(key)); }
        Milliseconds milliseconds(std::string_view key) const { return Milliseconds(count(key)); }
        Seconds seconds(std::string_view key) const { return Seconds(count(key)); }

    private:
        SettingValue value(std::string_view key) const { return m_tree.resolve(m_path, key).value().value; }

        SettingsTree const& m_tree;
        std::string m_path;
    };

    OrganisationSettings organisationAt(SettingsTree const& tree, std::string const& path)
    {
        NodeReader const node(tree, path);
        OrganisationSettings organisation;
        organisation.id = OrganisationId::fromName(path);
        organisation.name = path.substr(path.find('.') + 1);
        organisation.weight = node.number("weight");
        organisation.requestsPerSecond = node.number("requests_per_second");
        organisation.inFlight = node.count("in_flight");
        organisation.urgent = node.flag("urgent");
        return organisation;
    }

    PoolSettings poolAt(SettingsTree const& tree, std::string const& path)
    {
        NodeReader const node(tree, path);
        PoolSettings pool;
        pool.id = PoolId::fromName(path);
        pool.path = path;
        pool.models = path.starts_with("pools.") ? node.list("models") : TextList {};
        pool.loadMultiple = node.number("load_multiple");
        pool.admissionMargin = node.number("admission_margin");
        pool.newChatReserve = node.number("new_chat_reserve");
        pool.recomputePerToken = Microseconds(node.count("recompute_us_per_token"));
        pool.leastCap = node.count("least_cap");
        pool.mostInFlight = node.count("most_in_flight");
        pool.candidates = node.count("candidates");
        pool.queueLength = node.count("queue_length");
        pool.bulkShare = node.number("bulk_share");
        pool.queueWait = node.milliseconds("queue_wait_ms");
        pool.answerTimeout = node.milliseconds("answer_timeout_ms");
        pool.idleTimeout = node.milliseconds("idle_timeout_ms");
        pool.retryShare = node.number("retry_share");
        pool.mostTries = node.count("most_tries");
        pool.breakerFailures = node.count("breaker_failures");
        pool.breakerPause = node.milliseconds("breaker_pause_ms");
        pool.returnRamp = Microseconds(static_cast<int64_t>(node.number("return_seconds") * 1e6));
        pool.checksFences = node.text("fences") == "checked";
        return pool;
    }

    // Whether the text has the format that hashOfToken() returns.
    bool isTokenHash(std::string_view text)
    {
        constexpr size_t digits = 32;
        return text.size() == digits && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    }

    OnceSettings onceAt(SettingsTree const& tree)
    {
        NodeReader const node(tree, "fleet");
        OnceSettings once;
        once.ticketWindow = node.count("ticket_window");
        once.claimWindow = node.seconds("claim_window_s");
        once.logRetention = node.seconds("log_retention_s");
        once.logAppendsPerSecond = node.number("log_appends_per_second");
        once.memoryBytes = node.count("once_memory_bytes");
        once.answerKeepBytes = node.count("answer_keep_bytes");
        return once;
    }

}

Result<FleetSettings> FleetSettings::create(SettingsTree const& tree)
{
    FleetSettings settings;
    for (auto const& path : tree.leaves("organisations")) {
        auto const organisation = organisationAt(tree, path);
        settings.organisations.emplace(organisation.id, organisation);
        for (auto const& hash : NodeReader(tree, path).list("token_hashes")) {
            if (!isTokenHash(hash)) {
                auto problem = path;
                problem.append(".token_hashes = ").append(hash).append(": allowed is what 'stagepostctl hash-token' prints, 32 hexadecimal digits");
                return Error(ErrorCode::BadInput, std::move(problem));
            }
            if (settings.organisationByTokenHash.emplace(hash, organisation.id).second)
                continue;
            auto problem = path;
            problem.append(".token_hashes = ").append(hash).append(": allowed is a hash that no other organisation has");
            return Error(ErrorCode::BadInput, std::move(problem));
        }
    }
    for (auto const* root : { "pools", "services" }) {
        for (auto const& path : tree.leaves(root))
            settings.pools.emplace(PoolId::fromName(path), poolAt(tree, path));
    }
    for (auto const& [id, pool] : settings.pools) {
        for (auto const& model : pool.models) {
            if (!settings.poolByModel.emplace(model, id).second)
                return Error(ErrorCode::BadInput, pool.path + ".models = \"" + model + "\": allowed is a model that no other pool serves");
        }
    }
    settings.once = onceAt(tree);
    if (settings.once.claimWindow * 2 > settings.once.logRetention)
        return Error(ErrorCode::BadInput, "fleet.claim_window_s = " + std::to_string(settings.once.claimWindow.count()) + ": allowed is at most half of log_retention_s");
    return settings;
}

std::string hashOfToken(std::string_view token)
{
    std::array<unsigned char, 16> digest {};
    crypto_generichash(digest.data(), digest.size(), reinterpret_cast<unsigned char const*>(token.data()), token.size(), nullptr, 0);
    std::array<char, 33> text {};
    sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
    return { text.data(), text.size() - 1 };
}

}
