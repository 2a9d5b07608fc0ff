#include <stagepostd/ServiceTable.h>

#include <LibBase/Log.h>

namespace Stagepost {

namespace {

    // How long the announcement of an upstream without a record is kept: the record may have expired
    // during an outage of the store, and may be written again.
    constexpr Seconds leavingRetention { 600 };

}

UpstreamRole VersionRoles::roleOf(std::string const& version, UpstreamId id) const
{
    auto const found = byVersion.find(version);
    auto const role = found == byVersion.end() ? ofOthers : found->second;
    return role == UpstreamRole::Candidate && !trialSet.contains(id) ? UpstreamRole::Excluded : role;
}

ServiceTable::Entry& ServiceTable::service(std::string const& name)
{
    auto& entry = m_services[name];
    if (!entry)
        entry = std::make_unique<Entry>(Entry { ServicePlacement(m_bounds.placement, m_silence, m_random), RetryBudget(m_bounds.retries, m_bounds.retryShare), AdmissionGate(m_random) });
    return *entry;
}

void ServiceTable::apply(UpstreamChange const& change, Instant now)
{
    if (!change.record) {
        remove(change.instance, Removal::MayServe, now);
        return;
    }
    auto const& record = *change.record;
    auto endpoint = Endpoint::parse(record.address);
    if (!endpoint) {
        logEvent(LogLevel::Warning, "upstream-skipped", { { "instance", record.instance }, { "reason", "its address is not IP:PORT" }, { "address", record.address } });
        remove(record.instance, Removal::MayServe, now);
        return;
    }
    noteVersionChange(record);
    removeReplaced(record, now);
    auto const id = record.id();
    auto const hall = HallId::fromName(record.hall);
    m_currentIds[record.instance] = id;
    auto const earlier = m_targets.extract(id);
    auto const& target = m_targets[id] = { record.instance, std::move(*endpoint), record.service, hall, record.slots, record.isLeaving, record.version };
    countVersion(target, now);
    if (!earlier.empty())
        uncountVersion(earlier.mapped(), now);
    updatePlacement(id, target);
    applyColdTime(record, now);
}

void ServiceTable::noteVersionChange(UpstreamRecord const& record)
{
    auto const earlierId = currentId(record.instance);
    auto const* earlier = earlierId ? target(*earlierId) : nullptr;
    // Records that daemons of earlier releases have passed on may lack the version.
    bool const areVersionsKnown = earlier && !earlier->version.empty() && !record.version.empty();
    if (areVersionsKnown && earlier->service == record.service && earlier->version != record.version)
        m_servicesWithReusedNames.insert(record.service);
}

// The remaining time in a record that was passed on by other daemons is not reduced by its time in
// transit, so an upstream is treated as cold for slightly too long.
void ServiceTable::applyColdTime(UpstreamRecord const& record, Instant now)
{
    auto const until = record.coldLeft.count() ? std::optional(now + record.coldLeft) : std::nullopt;
    service(record.service).placement.setColdUntil(record.id(), until);
    if (until)
        logEvent(LogLevel::Info, "upstream-cold", { { "instance", record.instance }, { "left_ms", record.coldLeft.count() } });
}

void ServiceTable::markCold(UpstreamId id, Milliseconds left, Instant now)
{
    if (auto const* target = this->target(id); target && left.count())
        service(target->service).placement.setColdUntil(id, now + left);
}

void ServiceTable::forgetUnreachable(Instant now)
{
    m_silence.forgetSilence(now);
    for (auto const& [name, entry] : m_services)
        entry->placement.forgetUnreachable();
}

std::vector<UpstreamId> ServiceTable::upstreamIds() const
{
    std::vector<UpstreamId> ids;
    ids.reserve(m_targets.size());
    for (auto const& [id, target] : m_targets)
        ids.push_back(id);
    return ids;
}

void ServiceTable::markLeaving(UpstreamId id, Instant now)
{
    auto const* target = this->target(id);
    if (!target || !m_announcedLeaving.emplace(id, now).second)
        return;
    logEvent(LogLevel::Info, "upstream-says-it-leaves", { { "instance", target->instance }, { "service", target->service } });
    updatePlacement(id, *target);
    std::erase_if(m_announcedLeaving, [&](auto const& announced) { return now - announced.second > leavingRetention && !m_targets.contains(announced.first); });
}

void ServiceTable::updatePlacement(UpstreamId id, Target const& target)
{
    service(target.service).placement.putUpstream({ id, target.hall == HallId::fromName(m_bounds.hall), target.slots, isLeaving(id, target), target.hall, roleOf(id, target), VersionId::fromName(target.version) });
}

void ServiceTable::countVersion(Target const& target, Instant now)
{
    auto const version = VersionId::fromName(target.version);
    if (!m_versionCounts[target.service][version]++)
        versionHistory(target.service).appeared(version, now);
}

void ServiceTable::uncountVersion(Target const& target, Instant now)
{
    auto const version = VersionId::fromName(target.version);
    auto& counts = m_versionCounts[target.service];
    if (--counts[version])
        return;
    counts.erase(version);
    m_versionHistories.at(target.service).vanished(version, now);
}

void ServiceTable::noteVersion(std::string const& service, VersionId version, bool hasLapsed, Instant now)
{
    auto& history = versionHistory(service);
    history.appeared(version, now);
    if (hasLapsed)
        history.lapsed(version, now);
    if (!m_versionCounts[service].contains(version))
        history.vanished(version, now);
}

void ServiceTable::notePassedOver(UpstreamRecord const& record, bool mayServe, Instant now)
{
    noteVersion(record.service, VersionId::fromName(record.version), mayServe, now);
}

void ServiceTable::noteLapsed(ServiceVersions const& services, Instant now)
{
    for (auto const& [service, versions] : services) {
        for (auto const version : versions)
            noteVersion(service, version, true, now);
    }
}

VersionHistory& ServiceTable::versionHistory(std::string const& service)
{
    return m_versionHistories.try_emplace(service, m_historySince, m_streamLifetime).first->second;
}

void ServiceTable::applySettings(RouteTable const& settings, double coldOvershoot, double coldSlack)
{
    for (auto const& service : settings.services())
        this->service(service.name).placement.setColdStartLimit({ service.coldPerSecond, coldOvershoot, coldSlack, service.coldDuration });
    if (auto const longest = settings.longestResumableTime(); longest.count())
        m_streamLifetime = std::clamp<Microseconds>(longest + streamRecordMargin, m_streamLifetime, StreamOriginRecord::maxLifetime);
    for (auto& [service, history] : m_versionHistories)
        history.extendMemory(m_streamLifetime);
}

VersionHistory const* ServiceTable::versions(std::string const& service) const
{
    auto const found = m_versionHistories.find(service);
    return found == m_versionHistories.end() ? nullptr : &found->second;
}

void ServiceTable::restartVersionHistory(Instant now)
{
    m_historySince = now;
    for (auto& [service, history] : m_versionHistories)
        history.restart(now);
}

void ServiceTable::restoreVersionHistory(ServiceVersions const& versions, ServiceLapsedVersions const& lapsed, Instant readSentAt, Instant now)
{
    if (readSentAt < m_historySince)
        return;
    for (auto const& [service, earlier] : versions)
        versionHistory(service);
    auto const versionsOf = [](auto const& services, std::string const& service) {
        auto const found = services.find(service);
        return found == services.end() ? decltype(found->second) {} : found->second;
    };
    for (auto& [service, history] : m_versionHistories)
        history.restore(versionsOf(versions, service), versionsOf(lapsed, service), readSentAt, now);
    m_historySince = std::min(m_historySince, now - m_streamLifetime);
}

// While a list is outdated, upstreams of another version may come and go unseen. After a short time, that version
// was new to the daemons that used it, so its streams have records.
void ServiceTable::setListAge(std::optional<Microseconds> age, Instant now)
{
    bool const wasOutdated = m_listAge && *m_listAge > maxListAge;
    m_listAge = age;
    m_listProvenAt = now - age.value_or(Microseconds(0));
    if (!age || *age > maxListAge)
        return;
    if (wasOutdated && now - m_listCurrentAt >= VersionHistory::memory / 2)
        restartVersionHistory(now);
    else if (wasOutdated)
        requireVersionProof(now);
    m_listCurrentAt = now;
}

void ServiceTable::requireVersionProof(Instant now)
{
    m_historySince = now;
    for (auto& [service, history] : m_versionHistories)
        history.requireProof(now);
}

std::optional<ServiceVersions> ServiceTable::recentVersions(Instant now) const
{
    if (now - m_historySince < m_streamLifetime)
        return {};
    ServiceVersions result;
    for (auto const& [service, history] : m_versionHistories)
        result[service] = history.recentVersions(now);
    return result;
}

ServiceLapsedVersions ServiceTable::lapsedVersions(Instant now) const
{
    ServiceLapsedVersions result;
    for (auto const& [service, history] : m_versionHistories)
        result[service] = history.lapsedVersions(now);
    return result;
}

bool ServiceTable::lacksVersionHistory(Instant now) const
{
    return m_listAge && *m_listAge <= maxListAge && now - m_historySince < m_streamLifetime;
}

StreamOriginExchange::VersionKnowledge ServiceTable::versionKnowledge(std::string const& service, Instant now) const
{
    auto const* history = versions(service);
    if (!history)
        return {};
    bool const isListProven = m_listAge && *m_listAge <= maxListAge;
    auto const uniform = history->uniformVersion(now);
    return { isListProven ? uniform : std::nullopt, m_listProvenAt, history->versionWithoutRecords(now), history->restoredUniformAt(), history->recentVersions(now).size() > 1, !uniform, m_streamLifetime };
}

std::optional<UpstreamRole> ServiceTable::roleOfVersion(std::string const& service, VersionId version) const
{
    std::optional<UpstreamRole> result;
    for (auto const& upstream : upstreamsOf(service)) {
        if (upstream.isLeaving || upstream.role == UpstreamRole::Excluded || VersionId::fromName(upstream.version) != version)
            continue;
        if (upstream.role == UpstreamRole::Serving)
            return upstream.role;
        result = upstream.role;
    }
    return result;
}

bool ServiceTable::isLeaving(UpstreamId id, Target const& target) const
{
    return target.isLeaving || m_announcedLeaving.contains(id) || m_emptiedHalls.contains(target.hall);
}

UpstreamRole ServiceTable::roleOf(UpstreamId id, Target const& target) const
{
    auto const roles = m_versionRoles.find(target.service);
    return roles == m_versionRoles.end() ? UpstreamRole::Serving : roles->second.roleOf(target.version, id);
}

void ServiceTable::setVersionRoles(std::string const& service, VersionRoles const& roles)
{
    auto const [entry, isNew] = m_versionRoles.try_emplace(service, roles);
    if (!isNew && entry->second == roles)
        return;
    entry->second = roles;
    for (auto const& [id, target] : m_targets) {
        if (target.service == service)
            updatePlacement(id, target);
    }
}

UpstreamRole ServiceTable::role(UpstreamId id) const
{
    auto const* target = this->target(id);
    return target ? roleOf(id, *target) : UpstreamRole::Excluded;
}

std::vector<ServiceTable::VersionedUpstream> ServiceTable::upstreamsOf(std::string const& service) const
{
    std::vector<VersionedUpstream> result;
    for (auto const& [id, target] : m_targets) {
        if (target.service == service)
            result.push_back({ id, target.instance, target.version, isLeaving(id, target), roleOf(id, target) });
    }
    return result;
}

size_t ServiceTable::inFlightAt(std::string const& service, std::set<std::string> const& versions) const
{
    auto const entry = m_services.find(service);
    if (entry == m_services.end())
        return 0;
    size_t result = 0;
    for (auto const& [id, count] : entry->second->placement.ownInFlight()) {
        auto const* target = this->target(id);
        if (target && versions.contains(target->version))
            result += count;
    }
    return result;
}

void ServiceTable::setHallEmptied(HallId hall, bool isEmptied, Instant now)
{
    if (isEmptied)
        m_emptiedHalls.insert(hall);
    else
        m_emptiedHalls.erase(hall);
    for (auto const& [id, target] : m_targets) {
        if (target.hall != hall)
            continue;
        updatePlacement(id, target);
        if (!isEmptied)
            service(target.service).placement.markStarted(id, now);
    }
}

// Removes an earlier process of the same upstream, or its entry in another service.
void ServiceTable::removeReplaced(UpstreamRecord const& record, Instant now)
{
    auto const known = m_currentIds.find(record.instance);
    if (known == m_currentIds.end())
        return;
    if (known->second != record.id())
        logEvent(LogLevel::Info, "upstream-restarted", { { "instance", record.instance }, { "address", record.address }, { "incarnation", record.incarnation.value() } });
    if (known->second != record.id() || m_targets.at(known->second).service != record.service)
        remove(record.instance, Removal::HasEnded, now);
}

void ServiceTable::remove(std::string const& instance, Removal removal, Instant now)
{
    auto const known = m_currentIds.find(instance);
    if (known == m_currentIds.end())
        return;
    auto const target = m_targets.extract(known->second);
    m_currentIds.erase(known);
    bool const hasAnnounced = target.mapped().isLeaving || m_announcedLeaving.contains(target.key());
    if (removal == Removal::MayServe && !hasAnnounced)
        m_versionHistories.at(target.mapped().service).lapsed(VersionId::fromName(target.mapped().version), now);
    uncountVersion(target.mapped(), now);
    service(target.mapped().service).placement.removeUpstream(target.key());
    m_silence.remove(target.key());
    m_upstreamRemoved(target.mapped().endpoint);
}

std::optional<UpstreamId> ServiceTable::currentId(std::string const& instance) const
{
    auto const found = m_currentIds.find(instance);
    return found == m_currentIds.end() ? std::nullopt : std::optional(found->second);
}

ServiceTable::Target const* ServiceTable::target(UpstreamId id) const
{
    auto const found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second;
}

}
