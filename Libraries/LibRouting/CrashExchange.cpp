#include <LibRouting/CrashExchange.h>

#include <LibBase/Hash.h>
#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>
#include <algorithm>
#include <utility>

namespace Stagepost {

namespace {

    // Of the whole fleet, so that one may be away.
    constexpr size_t homesInFleet { 2 };
    // What the seal, UDP and IP add to a message.
    constexpr double headerBytes { 53 };

    // Clocks are not compared between daemons: only ages go over the network.
    void write(MessageWriter& writer, CrashSuspect const& suspect, Instant now)
    {
        writer.id(suspect.request);
        writer.number(suspect.clearedAt ? 1 : 0);
        if (suspect.clearedAt)
            writer.duration(now - *suspect.clearedAt);
        writer.number(suspect.ends.size());
        for (auto const& end : suspect.ends) {
            writer.id(end.upstream);
            writer.id(end.seenBy);
            writer.duration(now - end.at);
        }
    }

    CrashSuspect readSuspect(MessageReader& reader, Instant now)
    {
        CrashSuspect suspect;
        suspect.request = reader.id<RequestFingerprint>();
        if (reader.number())
            suspect.clearedAt = now - reader.duration();
        auto const count = reader.count();
        for (size_t index = 0; index < count && !reader.failed(); ++index) {
            auto const upstream = reader.id<UpstreamId>();
            auto const seenBy = reader.id<VMId>();
            suspect.ends.push_back({ upstream, seenBy, now - reader.duration() });
        }
        return suspect;
    }

    // The first daemons in the request's rendezvous order.
    std::vector<VMId> firstOf(std::vector<VMId> ids, RequestFingerprint request, size_t count)
    {
        count = std::min(count, ids.size());
        std::partial_sort(ids.begin(), ids.begin() + static_cast<ptrdiff_t>(count), ids.end(), [request](VMId one, VMId other) {
            return mixHashes(request.value(), one.value()) > mixHashes(request.value(), other.value());
        });
        ids.resize(count);
        return ids;
    }

}

void CrashExchange::setPeers(std::vector<FleetPeer> peers, Instant now)
{
    m_peers = std::move(peers);
    std::erase_if(m_peers, [this](auto const& peer) { return peer.id == m_self.id; });
    // Homes may have moved to daemons that know nothing yet.
    for (auto& [request, telling] : m_tellings)
        telling = { now, m_bounds.firstPause, telling.isWitness };
}

std::vector<VMId> CrashExchange::homesOf(RequestFingerprint request) const
{
    std::vector<VMId> fleet { m_self.id };
    std::vector<VMId> hall { m_self.id };
    for (auto const& peer : m_peers) {
        fleet.push_back(peer.id);
        if (peer.hall == m_self.hall)
            hall.push_back(peer.id);
    }
    auto homes = firstOf(std::move(fleet), request, homesInFleet);
    auto const ofHall = firstOf(std::move(hall), request, 1);
    homes.insert(homes.end(), ofHall.begin(), ofHall.end());
    return homes;
}

bool CrashExchange::concernsAll(CrashSuspect const& suspect) const
{
    return suspect.clearedAt || m_suspects.endCount(suspect.request) >= m_bounds.endsToldToAll;
}

std::vector<VMId> CrashExchange::audienceOf(CrashSuspect const& suspect, bool isWitness) const
{
    std::vector<VMId> audience;
    auto const add = [&audience](std::vector<VMId> const& ids) { audience.insert(audience.end(), ids.begin(), ids.end()); };
    auto const homes = homesOf(suspect.request);
    if (isWitness)
        add(homes);
    if (concernsAll(suspect)) {
        if (std::find(homes.begin(), homes.end(), m_self.id) != homes.end())
            add(m_hooks.relays());
        add(m_hooks.askers());
    }
    std::sort(audience.begin(), audience.end());
    audience.erase(std::unique(audience.begin(), audience.end()), audience.end());
    std::erase(audience, m_self.id);
    return audience;
}

void CrashExchange::seen(RequestFingerprint request, Instant now)
{
    auto const* suspect = m_suspects.find(request);
    if (!suspect)
        return;
    auto& telling = m_tellings[request];
    telling = { now, m_bounds.firstPause, true };
    tell(*suspect, telling, now);
}

void CrashExchange::earnCredit(Instant now)
{
    if (m_creditedAt != Instant {})
        m_credit = std::min(m_bounds.burstBytes, m_credit + asSeconds(now - m_creditedAt) * m_bounds.bytesPerSecond);
    m_creditedAt = now;
}

void CrashExchange::send(VMId to, std::vector<CrashSuspect const*> const& suspects, Instant now)
{
    MessageWriter writer;
    writer.number(suspects.size());
    for (auto const* suspect : suspects)
        write(writer, *suspect, now);
    auto bytes = writer.release();
    m_credit -= headerBytes + static_cast<double>(bytes.size());
    m_hooks.send(to, std::move(bytes));
}

// What there is no credit for stays due.
void CrashExchange::tell(CrashSuspect const& suspect, Telling& telling, Instant now)
{
    earnCredit(now);
    if (m_credit <= 0)
        return;
    for (auto const to : audienceOf(suspect, telling.isWitness))
        send(to, { &suspect }, now);
    telling.nextAt = now + telling.pause;
    telling.pause = std::min(2 * telling.pause, m_bounds.longestPause);
}

Result<std::vector<RequestFingerprint>> CrashExchange::receive(VMId from, std::string_view bytes, Instant now)
{
    MessageReader reader(bytes);
    std::vector<CrashSuspect> suspects;
    auto const count = reader.count();
    for (size_t index = 0; index < count && !reader.failed(); ++index)
        suspects.push_back(readSuspect(reader, now));
    if (!reader.finished())
        return Error(ErrorCode::Malformed, "a message about crashes is not understood");
    if (suspects.empty()) {
        if (auto const known = whatConcernsAll(); !known.empty())
            send(from, known, now);
    }
    std::vector<RequestFingerprint> news;
    for (auto const& told : suspects) {
        if (!m_suspects.merge(told, now))
            continue;
        news.push_back(told.request);
        auto const* suspect = m_suspects.find(told.request);
        if (!suspect)
            continue;
        auto& telling = m_tellings[told.request];
        telling = { now, m_bounds.firstPause, telling.isWitness };
        tell(*suspect, telling, now);
    }
    return news;
}

// Those with the most ends.
std::vector<CrashSuspect const*> CrashExchange::whatConcernsAll() const
{
    std::vector<CrashSuspect const*> suspects;
    for (auto const& [request, suspect] : m_suspects.all()) {
        if (concernsAll(suspect))
            suspects.push_back(&suspect);
    }
    auto const count = std::min(suspects.size(), m_bounds.suspectsToNewcomers);
    std::partial_sort(suspects.begin(), suspects.begin() + static_cast<ptrdiff_t>(count), suspects.end(), [](auto const* one, auto const* other) {
        return one->ends.size() > other->ends.size();
    });
    suspects.resize(count);
    return suspects;
}

// A daemon that is back from a cut asks a relay again.
void CrashExchange::tellNewcomers(Instant now)
{
    auto const askers = m_hooks.askers();
    auto const known = std::exchange(m_knownAskers, askers);
    std::vector<VMId> newcomers;
    std::copy_if(askers.begin(), askers.end(), std::back_inserter(newcomers), [&known](auto asker) { return std::find(known.begin(), known.end(), asker) == known.end(); });
    if (newcomers.empty())
        return;
    auto const suspects = whatConcernsAll();
    for (auto const newcomer : newcomers) {
        if (!suspects.empty())
            send(newcomer, suspects, now);
    }
}

// Without it one that starts again under its name is told only when something is due: it ended a
// further upstream meanwhile.
void CrashExchange::askAtStart(Instant now)
{
    if (m_peers.empty() || m_asks == m_bounds.asksAtStart || now < m_nextAskAt)
        return;
    ++m_asks;
    m_nextAskAt = now + m_bounds.firstPause;
    std::vector<VMId> others;
    others.reserve(m_peers.size());
    for (auto const& peer : m_peers)
        others.push_back(peer.id);
    for (auto const to : firstOf(std::move(others), RequestFingerprint(m_self.id.value()), m_bounds.askedAtStart))
        send(to, {}, now);
}

void CrashExchange::tick(Instant now)
{
    m_suspects.prune(now);
    earnCredit(now);
    askAtStart(now);
    tellNewcomers(now);
    std::erase_if(m_tellings, [this](auto const& entry) { return !m_suspects.find(entry.first); });
    for (auto& [request, telling] : m_tellings) {
        if (now < telling.nextAt)
            continue;
        auto const& suspect = *m_suspects.find(request);
        bool const isOldChance = !concernsAll(suspect) && !suspect.ends.empty() && now - suspect.ends.back().at > m_bounds.toldAsChance;
        if (!isOldChance)
            tell(suspect, telling, now);
    }
}

}
