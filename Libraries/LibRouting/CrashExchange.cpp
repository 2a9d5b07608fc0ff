#include <LibRouting/CrashExchange.h>

#include <LibBase/Hash.h>
#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>
#include <algorithm>
#include <utility>

namespace Stagepost {

namespace {

    // Two, so that one of them may be unreachable.
    constexpr size_t fleetHomeCount { 2 };
    // The overhead of the seal, UDP and IP per message.
    constexpr double headerBytes { 53 };

    // Follows an empty list of suspects in the answer to a request for a snapshot, which is empty as well.
    constexpr uint64_t emptyAnswer { 1 };

    // The clocks of daemons are not synchronized, so times are transmitted as ages.
    void write(MessageWriter& writer, CrashSuspect const& suspect, Instant now)
    {
        writer.id(suspect.subject);
        writer.number(suspect.clearedAt ? 1 : 0);
        if (suspect.clearedAt)
            writer.duration(now - *suspect.clearedAt);
        writer.number(suspect.crashes.size());
        for (auto const& crash : suspect.crashes) {
            writer.id(crash.upstream);
            writer.id(crash.observer);
            writer.duration(now - crash.observedAt);
            writer.duration(crash.inFlight);
        }
    }

    CrashSuspect readSuspect(MessageReader& reader, Instant now)
    {
        CrashSuspect suspect;
        suspect.subject = reader.id<Fingerprint>();
        if (reader.number())
            suspect.clearedAt = now - reader.duration();
        auto const count = reader.count();
        for (size_t index = 0; index < count && !reader.failed(); ++index) {
            auto const upstream = reader.id<UpstreamId>();
            auto const observer = reader.id<VMId>();
            auto const observedAt = now - reader.duration();
            suspect.crashes.push_back({ upstream, observer, observedAt, reader.duration() });
        }
        return suspect;
    }

    // Returns the daemons with the highest rendezvous hashes for the request.
    std::vector<VMId> highestRanked(std::vector<VMId> daemons, Fingerprint request, size_t count)
    {
        count = std::min(count, daemons.size());
        std::partial_sort(daemons.begin(), daemons.begin() + static_cast<ptrdiff_t>(count), daemons.end(), [request](VMId one, VMId other) {
            return mixHashes(request.value(), one.value()) > mixHashes(request.value(), other.value());
        });
        daemons.resize(count);
        return daemons;
    }

}

void CrashExchange::setPeers(std::vector<FleetPeer> peers, Instant now)
{
    m_peers = std::move(peers);
    std::erase_if(m_peers, [this](auto const& peer) { return peer.id == m_self.id; });
    // Daemons that have become homes may not have the suspects yet.
    for (auto& [request, announcement] : m_announcements)
        announcement = { now, m_bounds.initialInterval, announcement.isObserver, announcement.isFleetWide };
}

std::vector<VMId> CrashExchange::homesOf(Fingerprint request) const
{
    std::vector<VMId> fleet { m_self.id };
    std::vector<VMId> hall { m_self.id };
    for (auto const& peer : m_peers) {
        fleet.push_back(peer.id);
        if (peer.hall == m_self.hall)
            hall.push_back(peer.id);
    }
    auto homes = highestRanked(std::move(fleet), request, fleetHomeCount);
    auto const hallHomes = highestRanked(std::move(hall), request, 1);
    homes.insert(homes.end(), hallHomes.begin(), hallHomes.end());
    return homes;
}

bool CrashExchange::isFleetWide(CrashSuspect const& suspect) const
{
    return (m_bounds.areAnswersFleetWide && suspect.clearedAt) || m_suspects.crashCount(suspect.subject) >= m_bounds.fleetWideThreshold;
}

std::vector<VMId> CrashExchange::recipientsOf(CrashSuspect const& suspect, Announcement const& announcement) const
{
    std::vector<VMId> recipients;
    auto const add = [&recipients](std::vector<VMId> const& daemons) { recipients.insert(recipients.end(), daemons.begin(), daemons.end()); };
    auto const homes = homesOf(suspect.subject);
    if (announcement.isObserver)
        add(homes);
    if (announcement.isFleetWide) {
        if (std::find(homes.begin(), homes.end(), m_self.id) != homes.end())
            add(m_hooks.relays());
        add(m_hooks.subscribers());
    }
    std::sort(recipients.begin(), recipients.end());
    recipients.erase(std::unique(recipients.begin(), recipients.end()), recipients.end());
    std::erase(recipients, m_self.id);
    return recipients;
}

void CrashExchange::announce(Fingerprint request, Instant now)
{
    auto const* suspect = m_suspects.find(request);
    if (!suspect)
        return;
    auto& announcement = m_announcements.try_emplace(request, Announcement { now, m_bounds.initialInterval }).first->second;
    if (announcement.isDelayed) {
        if (suspect->crashes.empty())
            m_announcements.erase(request);
        return;
    }
    announcement.isObserver = true;
    makeDue(*suspect, announcement, now);
    sendDue(now);
}

void CrashExchange::announceUnlessCleared(Fingerprint subject, Microseconds delay, Instant now)
{
    auto const [position, isNew] = m_announcements.try_emplace(subject, Announcement { now + delay, m_bounds.initialInterval, true, false, true });
    if (!isNew)
        announce(subject, now);
}

// One that is overdue keeps its place in the order.
void CrashExchange::makeDue(CrashSuspect const& suspect, Announcement& announcement, Instant now) const
{
    auto const earliest = suspect.clearedAt && announcement.sentAt ? *announcement.sentAt + m_bounds.answeredInterval : now;
    announcement.nextAt = std::min(announcement.nextAt, std::max(now, earliest));
    announcement.interval = m_bounds.initialInterval;
}

void CrashExchange::refillSendBudget(Instant now)
{
    if (m_refilledAt != Instant {})
        m_sendBudget = std::min(m_bounds.maxBurstBytes, m_sendBudget + asSeconds(now - m_refilledAt) * m_bounds.bytesPerSecond);
    m_refilledAt = now;
}

void CrashExchange::send(VMId to, std::vector<CrashSuspect const*> const& suspects, Instant now)
{
    MessageWriter writer;
    writer.number(suspects.size());
    for (auto const* suspect : suspects)
        write(writer, *suspect, now);
    auto bytes = writer.release();
    m_sendBudget -= headerBytes + static_cast<double>(bytes.size());
    m_hooks.send(to, std::move(bytes));
}

void CrashExchange::sendAnnouncement(CrashSuspect const& suspect, Announcement& announcement, Instant now)
{
    announcement.isDelayed = false;
    announcement.isFleetWide = announcement.isFleetWide || isFleetWide(suspect);
    for (auto const to : recipientsOf(suspect, announcement))
        send(to, { &suspect }, now);
    announcement.sentAt = now;
    announcement.nextAt = now + announcement.interval;
    announcement.interval = std::min(2 * announcement.interval, m_bounds.maxInterval);
}

// Sends what is due until the budget is used up. The interval delays repetitions, which matter less than news,
// but no suspect waits forever for others that change all the time.
void CrashExchange::sendDue(Instant now)
{
    refillSendBudget(now);
    std::vector<std::pair<Instant, Fingerprint>> due;
    for (auto const& [request, announcement] : m_announcements) {
        auto const* suspect = m_suspects.find(request);
        if (!suspect || now < announcement.nextAt)
            continue;
        bool const isCoincidental = !announcement.isFleetWide && !isFleetWide(*suspect) && !suspect->crashes.empty();
        bool const isExpired = isCoincidental && now - suspect->crashes.back().observedAt > m_bounds.coincidenceLifetime;
        if (!isExpired)
            due.emplace_back(announcement.nextAt + announcement.interval, request);
    }
    std::sort(due.begin(), due.end());
    for (auto const& [deadline, request] : due) {
        if (m_sendBudget <= 0)
            return;
        sendAnnouncement(*m_suspects.find(request), m_announcements.at(request), now);
    }
}

Result<std::vector<Fingerprint>> CrashExchange::receive(VMId from, std::string_view bytes, Instant now)
{
    MessageReader reader(bytes);
    std::vector<CrashSuspect> suspects;
    auto const count = reader.count();
    for (size_t index = 0; index < count && !reader.failed(); ++index)
        suspects.push_back(readSuspect(reader, now));
    bool const isEmptyAnswer = suspects.empty() && !reader.finished() && reader.number() == emptyAnswer;
    if (!reader.finished())
        return Error(ErrorCode::Malformed, "malformed crash suspect message");
    if (suspects.empty() && !isEmptyAnswer)
        answerSnapshotRequest(from, now);
    else
        m_hasHeard = true;
    std::vector<Fingerprint> changed;
    for (auto const& reported : suspects) {
        if (!m_suspects.merge(reported, now))
            continue;
        changed.push_back(reported.subject);
        auto const* suspect = m_suspects.find(reported.subject);
        if (!suspect)
            continue;
        auto& announcement = m_announcements.try_emplace(reported.subject, Announcement { now, m_bounds.initialInterval }).first->second;
        announcement.isDelayed = false;
        makeDue(*suspect, announcement, now);
    }
    sendDue(now);
    return changed;
}

void CrashExchange::answerSnapshotRequest(VMId from, Instant now)
{
    if (auto const snapshot = fleetWideSuspects(); !snapshot.empty())
        return send(from, snapshot, now);
    if (!m_bounds.answersWithoutSuspects)
        return;
    MessageWriter writer;
    writer.number(0);
    writer.number(emptyAnswer);
    m_hooks.send(from, writer.release());
}

// Returns the fleet-wide suspects with the most crashes, up to the size of a snapshot.
std::vector<CrashSuspect const*> CrashExchange::fleetWideSuspects() const
{
    std::vector<CrashSuspect const*> suspects;
    for (auto const& [request, suspect] : m_suspects.suspects()) {
        if (isFleetWide(suspect))
            suspects.push_back(&suspect);
    }
    auto const count = std::min(suspects.size(), m_bounds.maxSuspectsPerSnapshot);
    std::partial_sort(suspects.begin(), suspects.begin() + static_cast<ptrdiff_t>(count), suspects.end(), [](auto const* one, auto const* other) {
        return one->crashes.size() > other->crashes.size();
    });
    suspects.resize(count);
    return suspects;
}

// A daemon also becomes a new subscriber when it polls a relay again after a network partition.
void CrashExchange::sendToNewSubscribers(Instant now)
{
    auto const subscribers = m_hooks.subscribers();
    auto const known = std::exchange(m_knownSubscribers, subscribers);
    std::vector<VMId> newSubscribers;
    std::copy_if(subscribers.begin(), subscribers.end(), std::back_inserter(newSubscribers), [&known](auto subscriber) { return std::find(known.begin(), known.end(), subscriber) == known.end(); });
    if (newSubscribers.empty())
        return;
    auto const suspects = fleetWideSuspects();
    for (auto const subscriber : newSubscribers) {
        if (!suspects.empty())
            send(subscriber, suspects, now);
    }
}

// Without these requests, a daemon that restarts under its name would learn of a suspect only at
// the next repetition; a poison request crashed another upstream in that time.
void CrashExchange::requestSnapshotsAtStart(Instant now)
{
    if (m_peers.empty() || m_startupRequests == m_bounds.startupRequestCount || now < m_nextStartupRequestAt)
        return;
    ++m_startupRequests;
    m_nextStartupRequestAt = now + m_bounds.initialInterval;
    std::vector<VMId> others;
    others.reserve(m_peers.size());
    for (auto const& peer : m_peers)
        others.push_back(peer.id);
    for (auto const to : highestRanked(std::move(others), Fingerprint(m_self.id.value()), m_bounds.startupPeerCount))
        send(to, {}, now);
}

void CrashExchange::tick(Instant now)
{
    m_suspects.prune(now);
    refillSendBudget(now);
    requestSnapshotsAtStart(now);
    sendToNewSubscribers(now);
    std::erase_if(m_announcements, [this](auto const& entry) { return !m_suspects.find(entry.first); });
    sendDue(now);
}

}
