#include <LibMembership/Membership.h>

#include <algorithm>

namespace Stagepost {

namespace {

    constexpr size_t maxPingRequests = 3;
    constexpr size_t representativesPerHall = 2;
    // On average one in this many pings goes to a dead daemon, so that the sides of a
    // healed network partition find each other again.
    constexpr uint64_t pingsPerDeadPing = 8;
    constexpr Microseconds forwardedPingTimeout { 2000000 };

    template <typename Entry>
    void shuffle(std::vector<Entry>& entries, RandomHook const& random)
    {
        for (size_t index = entries.size(); index > 1; --index)
            std::swap(entries[index - 1], entries[randomBelow(random, index)]);
    }

}

Membership::Membership(VMId self, HallId hall, Incarnation incarnation, Hooks hooks)
    : m_self(self)
    , m_hall(hall)
    , m_incarnation(incarnation)
    , m_hooks(std::move(hooks))
    , m_hallReachability(hall)
{
    m_updateQueue.push(ownUpdate());
}

MemberUpdate Membership::ownUpdate() const
{
    return { m_self, m_hall, m_incarnation, m_version, m_isLeaving ? MemberState::Leaving : MemberState::Alive };
}

void Membership::addMember(VMId member, HallId hall, Instant now)
{
    m_hallReachability.add(hall, now);
    if (member == m_self)
        return;
    if (m_members.try_emplace(member, Member { { member, hall, {}, 0, MemberState::Alive }, {}, false }).second)
        m_hooks.changed();
}

void Membership::removeMember(VMId member)
{
    if (m_members.erase(member))
        m_hooks.changed();
}

void Membership::addUpstreamUpdate(UpstreamUpdate const& update)
{
    apply(update);
}

void Membership::setLeaving(bool isLeaving)
{
    if (isLeaving == m_isLeaving)
        return;
    m_isLeaving = isLeaving;
    ++m_version;
    m_updateQueue.push(ownUpdate());
}

MemberState Membership::stateOf(VMId member) const
{
    if (member == m_self)
        return m_isLeaving ? MemberState::Leaving : MemberState::Alive;
    auto const found = m_members.find(member);
    return found == m_members.end() ? MemberState::Dead : found->second.update.state;
}

UpstreamUpdate const* Membership::lastUpstreamUpdate(UpstreamId upstream) const
{
    auto const found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

std::vector<VMId> Membership::liveHallMembers() const
{
    std::vector<VMId> result;
    for (auto const& [id, member] : m_members) {
        if (member.update.hall == m_hall && member.update.state != MemberState::Dead)
            result.push_back(id);
    }
    return result;
}

// Visits all live members of the hall in a random order before it draws a new order,
// so that each is pinged within a bounded time.
VMId Membership::nextProbeTarget()
{
    if (randomBelow(m_hooks.random, pingsPerDeadPing) == 0) {
        std::vector<VMId> dead;
        for (auto const& [id, member] : m_members) {
            if (member.update.hall == m_hall && member.update.state == MemberState::Dead)
                dead.push_back(id);
        }
        if (!dead.empty())
            return dead[randomBelow(m_hooks.random, dead.size())];
    }
    while (true) {
        if (m_probeOrder.empty()) {
            m_probeOrder = liveHallMembers();
            shuffle(m_probeOrder, m_hooks.random);
            if (m_probeOrder.empty())
                return {};
        }
        auto const next = m_probeOrder.back();
        m_probeOrder.pop_back();
        if (stateOf(next) != MemberState::Dead)
            return next;
    }
}

void Membership::send(VMId to, MembershipMessage::Kind kind, uint64_t sequence, VMId target, Instant now)
{
    MembershipMessage message;
    message.kind = kind;
    message.sequence = sequence;
    message.target = target;
    message.sender = ownUpdate();
    message.revision = m_revision;
    message.hallAges = m_hallReachability.ages(now);
    message.members = m_updateQueue.takeMembers(size());
    message.upstreams = m_updateQueue.takeUpstreams(size());
    // The receiver can refute a suspicion or its death only when it learns of it.
    if (auto const found = m_members.find(to); found != m_members.end() && found->second.update.state != MemberState::Alive)
        message.members.push_back(found->second.update);
    m_hooks.send(to, message.encode());
}

void Membership::startProbe(Instant now)
{
    if (!m_probe.isAcknowledged)
        suspect(m_probe.target, now);
    m_probeStartedAt = now;
    auto const target = nextProbeTarget();
    if (target.isNull())
        return;
    m_probe = { target, ++m_sequence, now, false, false };
    send(target, MembershipMessage::Kind::Ping, m_probe.sequence, target, now);
}

void Membership::sendPingRequests(Instant now)
{
    m_probe.sentPingRequests = true;
    auto others = liveHallMembers();
    std::erase(others, m_probe.target);
    shuffle(others, m_hooks.random);
    others.resize(std::min(others.size(), maxPingRequests));
    for (auto const other : others)
        send(other, MembershipMessage::Kind::PingRequest, m_probe.sequence, m_probe.target, now);
}

// The representatives of a hall are its live daemons with the lowest ids. While
// daemons disagree on who is alive, there may be one more or one fewer.
bool Membership::isRepresentative() const
{
    auto const all = liveHallMembers();
    auto const before = std::count_if(all.begin(), all.end(), [&](VMId id) { return id < m_self; });
    return static_cast<size_t>(before) < representativesPerHall;
}

void Membership::probeOtherHalls(Instant now)
{
    m_hallProbeStartedAt = now;
    if (!isRepresentative())
        return;
    std::map<HallId, std::vector<VMId>> others;
    for (auto const& [id, member] : m_members) {
        if (member.update.hall != m_hall)
            others[member.update.hall].push_back(id);
    }
    for (auto const& [hall, members] : others) {
        std::vector<VMId> alive;
        std::copy_if(members.begin(), members.end(), std::back_inserter(alive), [&](VMId id) { return stateOf(id) != MemberState::Dead; });
        auto const& from = alive.empty() ? members : alive;
        send(from[randomBelow(m_hooks.random, from.size())], MembershipMessage::Kind::Ping, ++m_sequence, {}, now);
    }
}

void Membership::tick(Instant now)
{
    if (now - m_probeStartedAt >= probeInterval)
        startProbe(now);
    else if (!m_probe.isAcknowledged && !m_probe.sentPingRequests && now - m_probe.sentAt >= ackTimeout)
        sendPingRequests(now);
    if (now - m_hallProbeStartedAt >= hallProbeInterval)
        probeOtherHalls(now);
    expireSuspicions(now);
    std::erase_if(m_forwardedPings, [&](auto const& forwarded) { return now - forwarded.second.at > forwardedPingTimeout; });
    if (!m_hallReachability.takeChanges(now).empty())
        m_hooks.changed();
}

void Membership::suspect(VMId id, Instant now)
{
    auto const found = m_members.find(id);
    if (found == m_members.end() || found->second.isSuspected || found->second.update.state == MemberState::Dead)
        return;
    auto& member = found->second;
    member.isSuspected = true;
    member.suspectedAt = now;
    if (member.update.state == MemberState::Alive) {
        member.update.state = MemberState::Suspect;
        m_updateQueue.push(member.update);
    }
}

void Membership::expireSuspicions(Instant now)
{
    bool changed = false;
    for (auto& [id, member] : m_members) {
        if (!member.isSuspected || now - member.suspectedAt < suspicionTimeout)
            continue;
        member.isSuspected = false;
        member.update.state = MemberState::Dead;
        m_updateQueue.push(member.update);
        changed = true;
    }
    if (changed)
        m_hooks.changed();
}

bool Membership::apply(MemberUpdate const& update, Instant now)
{
    if (update.member == m_self) {
        refuteIfNeeded(update);
        return false;
    }
    auto const [found, isNew] = m_members.try_emplace(update.member, Member { update, {}, false });
    auto& member = found->second;
    if (!isNew && !update.overrides(member.update))
        return false;
    auto const before = member.update.state;
    member.update = update;
    member.isSuspected = update.state == MemberState::Suspect;
    if (member.isSuspected)
        member.suspectedAt = now;
    m_updateQueue.push(update);
    auto const withoutSuspicion = [](MemberState state) { return state == MemberState::Suspect ? MemberState::Alive : state; };
    return isNew || withoutSuspicion(before) != withoutSuspicion(update.state);
}

void Membership::refuteIfNeeded(MemberUpdate const& update)
{
    bool const needsRefutation = update.state == MemberState::Suspect || update.state == MemberState::Dead || (update.state == MemberState::Leaving && !m_isLeaving);
    if (update.incarnation != m_incarnation || update.version < m_version || !needsRefutation)
        return;
    m_version = update.version + 1;
    m_updateQueue.push(ownUpdate());
}

bool Membership::apply(UpstreamUpdate const& update)
{
    auto const [found, isNew] = m_upstreams.try_emplace(update.upstream, update);
    if (!isNew && update.listVersion <= found->second.listVersion)
        return false;
    found->second = update;
    m_updateQueue.push(update);
    return true;
}

Result<void> Membership::receive(VMId from, std::string_view bytes, Instant now)
{
    auto const message = MembershipMessage::decode(bytes);
    if (!message)
        return message.error();
    if (message->sender.member != from)
        return Error(ErrorCode::Malformed, "a membership message's sender is not the daemon that it came from");
    bool changed = apply(message->sender, now);
    for (auto const& update : message->members)
        changed |= apply(update, now);
    for (auto const& update : message->upstreams)
        changed |= apply(update);
    m_hallReachability.add(message->sender.hall, now);
    m_hallReachability.recordContact(message->sender.hall, now);
    for (auto const& [hall, age] : message->hallAges)
        m_hallReachability.recordContact(hall, now - age);
    if (changed)
        m_hooks.changed();
    m_hooks.revisionSeen(from, message->revision);

    if (message->kind == MembershipMessage::Kind::Ping) {
        send(from, MembershipMessage::Kind::Acknowledgement, message->sequence, from, now);
    } else if (message->kind == MembershipMessage::Kind::Acknowledgement) {
        handleAcknowledgement(from, message->sequence, now);
    } else {
        m_forwardedPings[++m_sequence] = { from, message->sequence, now };
        send(message->target, MembershipMessage::Kind::Ping, m_sequence, message->target, now);
    }
    return {};
}

void Membership::handleAcknowledgement(VMId from, uint64_t sequence, Instant now)
{
    if (auto const forwarded = m_forwardedPings.find(sequence); forwarded != m_forwardedPings.end()) {
        auto const [requester, original, at] = forwarded->second;
        m_forwardedPings.erase(forwarded);
        send(requester, MembershipMessage::Kind::Acknowledgement, original, from, now);
        return;
    }
    if (sequence == m_probe.sequence)
        m_probe.isAcknowledged = true;
    // A leaving daemon is never marked Suspect, so an acknowledgement is enough to clear
    // its suspicion here. A Suspect daemon has to refute the suspicion itself.
    if (auto const found = m_members.find(from); found != m_members.end() && found->second.update.state == MemberState::Leaving)
        found->second.isSuspected = false;
}

}
