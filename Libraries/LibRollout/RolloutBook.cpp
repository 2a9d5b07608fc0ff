#include <LibRollout/RolloutBook.h>

#include <algorithm>
#include <utility>

namespace Stagepost {

namespace {

    RolloutState makeState(RolloutOrder const& order, bool isPhaseKnown)
    {
        RolloutState state;
        state.order = order;
        state.isPhaseKnown = isPhaseKnown;
        return state;
    }

    // Bars the version of the replaced order, unless that order is done or the new one names it.
    void barReplaced(RolloutState& state)
    {
        if (!state.replaced)
            return;
        if (state.replaced->phase == RolloutPhase::Done)
            state.barredVersions.erase(state.replaced->version);
        else if (state.replaced->version != state.order.version)
            state.barredVersions.insert(state.replaced->version);
    }

    // Returns whether the phase was raised.
    bool raiseReplaced(std::optional<ReplacedOrder>& replaced, ReplacedOrder const& other)
    {
        if (!replaced || replaced->id < other.id) {
            replaced = other;
            return true;
        }
        if (replaced->id != other.id || replaced->phase >= other.phase)
            return false;
        replaced->phase = other.phase;
        return true;
    }

}

RolloutState RolloutBook::stateOf(Entry const& entry, Instant now)
{
    auto state = entry.state;
    state.elapsed = std::max(Microseconds(0), now - entry.orderedAt);
    return state;
}

void RolloutBook::notify(Entry const& entry, Instant now) const
{
    m_changed(stateOf(entry, now));
}

// Returns nothing if another daemon has sent a newer state while the read was under way.
std::optional<RolloutBook::Reading> RolloutBook::startReading(uint64_t position, Instant readSentAt, std::optional<Instant> receivedAt)
{
    auto const at = receivedAt.value_or(readSentAt);
    bool const isNew = m_age.isWithin(m_bounds.newOrderAge, at);
    m_age.confirm(readSentAt);
    if (position < m_position)
        return std::nullopt;
    m_position = position;
    return Reading { at, isNew, false };
}

void RolloutBook::apply(std::vector<RolloutOrderRecord> const& records, uint64_t position, Instant readSentAt, std::optional<Instant> receivedAt)
{
    auto const reading = startReading(position, readSentAt, receivedAt);
    if (!reading)
        return;
    for (auto const& record : records)
        applyRecord(record, *reading);
}

void RolloutBook::applyRecord(RolloutOrderRecord const& record, Reading reading)
{
    m_missing.erase(record.service);
    if (record.order)
        adopt(*record.order, reading);
    else
        remove(record.service, reading.at);
}

void RolloutBook::replace(std::vector<RolloutOrderRecord> const& records, uint64_t position, Instant readSentAt, std::optional<Instant> receivedAt)
{
    if (auto const reading = startReading(position, readSentAt, receivedAt))
        replaceOrders(records, { reading->at, reading->isNew, true });
}

// An order of a complete read may have any age, also if this daemon knew of none a moment ago: the store
// may have been restored in between.
void RolloutBook::replaceAfterRestore(std::vector<RolloutOrderRecord> const& records, uint64_t position, Instant readSentAt, std::optional<Instant> receivedAt)
{
    auto const reading = startReading(position, readSentAt, receivedAt);
    if (!reading)
        return;
    for (auto const& [service, entry] : m_entries)
        m_missing.try_emplace(service, Missing { reading->at + m_bounds.returnGrace, std::nullopt });
    replaceOrders(records, { reading->at, false, true });
}

void RolloutBook::replaceOrders(std::vector<RolloutOrderRecord> const& records, Reading reading)
{
    std::map<std::string, RolloutOrderRecord> latest;
    for (auto const& record : records)
        latest.insert_or_assign(record.service, record);
    for (auto const& [service, record] : latest) {
        auto const missing = m_missing.find(service);
        auto const entry = m_entries.find(service);
        bool const isOlder = entry != m_entries.end() && offsetOf(record.id) < offsetOf(entry->second.state.order.id);
        if (missing != m_missing.end() && isOlder)
            missing->second.inStore = record.order;
        else
            applyRecord(record, reading);
    }
    // The order was removed, or it is missing from a restored store and was learnt from another daemon.
    for (auto const& [service, entry] : m_entries) {
        if (!latest.contains(service))
            m_missing.try_emplace(service, Missing { reading.at + m_bounds.returnGrace, std::nullopt });
    }
}

void RolloutBook::adopt(RolloutOrder const& order, Reading reading)
{
    auto const found = m_entries.find(order.service);
    if (found != m_entries.end()) {
        auto const& known = found->second.state.order;
        if (known == order || (reading.isComplete && mayBeSameRecord(known, order)))
            return;
    }
    auto& entry = m_entries[order.service];
    entry = found == m_entries.end() ? Entry { makeState(order, reading.isNew), reading.at } : replaceBy(entry, order, reading);
    notify(entry, reading.at);
}

RolloutBook::Entry RolloutBook::replaceBy(Entry const& before, RolloutOrder const& order, Reading reading)
{
    Entry entry { makeState(order, reading.isNew), reading.at };
    entry.state.barredVersions = before.state.barredVersions;
    entry.state.barredVersions.erase(order.version);
    entry.state.replaced = ReplacedOrder { before.state.order.id, before.state.order.version, before.state.phase };
    barReplaced(entry.state);
    return entry;
}

void RolloutBook::remove(std::string const& service, Instant now)
{
    auto const found = m_entries.find(service);
    if (found == m_entries.end())
        return;
    raise(service, found->second.state.order.id, RolloutPhase::RolledBack, now);
}

void RolloutBook::merge(RolloutStates const& peer, std::optional<Instant> provenAt, Instant now)
{
    bool const isSamePosition = peer.position == m_position;
    bool const isProvenLater = provenAt && (!m_age.isKnown() || *provenAt > *m_age.confirmedAt());
    bool const isNewer = peer.position > m_position || (isSamePosition && isProvenLater);
    if (provenAt)
        m_age.confirm(*provenAt);
    for (auto const& state : peer.states)
        mergeState(state, isNewer, now);
    if (peer.position <= m_position)
        return;
    m_position = peer.position;
    // An order that a newer state lacks was removed before its sender started, or is missing from
    // a restored store. A daemon that reads this order's removal raises it to RolledBack at once.
    for (auto const& [service, entry] : m_entries) {
        bool const isKept = std::any_of(peer.states.begin(), peer.states.end(), [&](auto const& state) { return state.order.service == service; });
        if (!isKept && !isFinal(entry.state.phase))
            m_missing.try_emplace(service, Missing { now + m_bounds.returnGrace, std::nullopt });
    }
}

void RolloutBook::mergeState(RolloutState const& peer, bool isPeerNewer, Instant now)
{
    auto const& service = peer.order.service;
    auto const found = m_entries.find(service);
    if (found == m_entries.end()) {
        auto& entry = m_entries[service] = { peer, now - peer.elapsed };
        if (!isPeerNewer && !isFinal(peer.phase))
            m_missing.try_emplace(service, Missing { now + m_bounds.returnGrace, std::nullopt });
        notify(entry, now);
        return;
    }
    auto& entry = found->second;
    if (entry.state.order == peer.order) {
        entry.orderedAt = std::min(entry.orderedAt, now - peer.elapsed);
        // Whether the order is in the store is only known from a read, since the peer may keep a missing one.
        if (mergeSameOrder(entry, peer))
            notify(entry, now);
        return;
    }
    bool const isSameRecord = mayBeSameRecord(entry.state.order, peer.order);
    if (isSameRecord && takeOverId(entry, peer)) {
        (void)mergeSameOrder(entry, peer);
        notify(entry, now);
        return;
    }
    // Of two orders with the same offset, the one with the later era was written after the other was lost.
    if (isSameRecord ? peer.order.id < entry.state.order.id || !peer.isPhaseKnown : !isPeerNewer)
        return;
    m_missing.erase(service);
    entry = replaceBy(entry, peer.order, { now - peer.elapsed, peer.isPhaseKnown, false });
    (void)mergeSameOrder(entry, peer);
    notify(entry, now);
}

// An order of a complete read that nothing else is known of may have been written in an earlier era.
bool RolloutBook::takeOverId(Entry& entry, RolloutState const& peer)
{
    if (entry.state.isPhaseKnown || !peer.isPhaseKnown)
        return false;
    entry.state.order.id = peer.order.id;
    return true;
}

// Returns whether anything has changed.
bool RolloutBook::mergeSameOrder(Entry& entry, RolloutState const& peer) const
{
    auto const before = entry.state;
    entry.state.phase = std::max(entry.state.phase, peer.phase);
    entry.state.isPhaseKnown = entry.state.isPhaseKnown || peer.isPhaseKnown;
    entry.state.barredVersions.insert(peer.barredVersions.begin(), peer.barredVersions.end());
    if (peer.replaced)
        raiseReplaced(entry.state.replaced, *peer.replaced);
    barReplaced(entry.state);
    return entry.state != before;
}

void RolloutBook::applyRecorded(std::string const& service, std::optional<Recorded> const& recorded, Instant now)
{
    auto const found = m_entries.find(service);
    // A record of a later order, which this daemon has yet to read, says nothing about the one that it knows.
    if (found == m_entries.end() || (recorded && recorded->order > found->second.state.order.id))
        return;
    auto& entry = found->second;
    auto const before = entry.state;
    if (recorded && !entry.state.isPhaseKnown && offsetOf(recorded->order) == offsetOf(entry.state.order.id) && recorded->version == entry.state.order.version)
        entry.state.order.id = recorded->order;
    entry.state.isPhaseKnown = true;
    if (recorded && recorded->order == entry.state.order.id) {
        entry.state.phase = std::max(entry.state.phase, recorded->phase);
        entry.orderedAt = std::min(entry.orderedAt, now - recorded->elapsed);
    } else if (recorded && !recorded->version.empty()) {
        raiseReplaced(entry.state.replaced, { recorded->order, recorded->version, recorded->phase });
        barReplaced(entry.state);
    }
    if (entry.state != before)
        notify(entry, now);
}

void RolloutBook::raise(std::string const& service, RolloutId order, RolloutPhase phase, Instant now)
{
    auto const found = m_entries.find(service);
    if (found == m_entries.end() || found->second.state.order.id != order || found->second.state.phase >= phase)
        return;
    found->second.state.phase = phase;
    if (isFinal(phase))
        found->second.state.isPhaseKnown = true;
    notify(found->second, now);
}

void RolloutBook::tick(Instant now)
{
    std::map<std::string, Missing> expired;
    std::erase_if(m_missing, [&](auto const& missing) {
        if (now < missing.second.until)
            return false;
        expired.insert(missing);
        return true;
    });
    for (auto const& [service, missing] : expired) {
        remove(service, now);
        if (missing.inStore)
            adopt(*missing.inStore, { now, false, true });
    }
}

std::optional<RolloutState> RolloutBook::state(std::string const& service, Instant now) const
{
    auto const found = m_entries.find(service);
    return found == m_entries.end() ? std::nullopt : std::optional(stateOf(found->second, now));
}

RolloutStates RolloutBook::states(Instant now) const
{
    RolloutStates result { m_position, {} };
    for (auto const& [service, entry] : m_entries)
        result.states.push_back(stateOf(entry, now));
    return result;
}

std::vector<std::string> RolloutBook::servicesWithUnknownPhase() const
{
    std::vector<std::string> result;
    for (auto const& [service, entry] : m_entries) {
        if (!entry.state.isPhaseKnown)
            result.push_back(service);
    }
    return result;
}

}
