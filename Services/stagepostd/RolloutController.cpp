#include <stagepostd/RolloutController.h>

#include <LibBase/Hash.h>
#include <LibBase/Log.h>
#include <algorithm>

namespace Stagepost {

namespace {

    // After this time a failed read of the statuses is repeated. A daemon that needs them is not ready.
    constexpr Milliseconds statusReadInterval { 500 };
    // After a restore of the store, statuses may be missing from it. Another daemon may know of a later
    // one, and an append of before the restore may still take effect, so they are checked repeatedly.
    constexpr unsigned repetitionsAfterRestore = 5;
    constexpr Milliseconds repetitionInterval { 1000 };
    // A daemon that has run for less than this before an order takes nothing of its slack: an earlier process
    // may have spent its part, or other daemons may not count it yet.
    constexpr Milliseconds minRunBeforeOrder { 2000 };
    constexpr Milliseconds evidenceLogInterval { 1000 };

    std::string labels(std::string const& service, std::string const& version)
    {
        return "service=\"" + service + "\",version=\"" + version + '"';
    }

    bool isInProgress(RolloutPhase phase)
    {
        return phase != RolloutPhase::Moved && !isFinal(phase);
    }

    int64_t milliseconds(Microseconds duration)
    {
        return std::chrono::duration_cast<Milliseconds>(duration).count();
    }

}

RolloutController::RolloutController(FleetPeer self, RolloutSchedule schedule, ServiceTable& serviceTable, Metrics& metrics, NowHook now, RandomHook random, Hooks hooks)
    : m_self(self)
    , m_schedule(schedule)
    , m_serviceTable(serviceTable)
    , m_metrics(metrics)
    , m_now(std::move(now))
    , m_random(std::move(random))
    , m_hooks(std::move(hooks))
    , m_book({}, [this](RolloutState const& state) { m_changedServices.insert(state.order.service); })
    , m_startedAt(m_now())
{
}

void RolloutController::updateOrders(std::vector<RolloutOrderRecord> const& records, bool isWhole, Instant readSentAt, uint64_t position, bool isAfterRestore)
{
    if (isAfterRestore) {
        m_book.replaceAfterRestore(records, position, readSentAt, m_now());
        m_repetitionsAfterRestore = repetitionsAfterRestore;
        m_needsStatuses = true;
    } else if (isWhole) {
        m_book.replace(records, position, readSentAt, m_now());
    } else {
        m_book.apply(records, position, readSentAt, m_now());
    }
    applyChanges();
}

void RolloutController::mergeStates(RolloutStates const& states, std::optional<Instant> provenAt)
{
    m_book.merge(states, provenAt, m_now());
    applyChanges();
}

void RolloutController::confirm(Instant provenAt)
{
    m_book.confirm(provenAt);
    applyChanges();
}

bool RolloutController::isReady() const
{
    if (!m_book.servicesWithUnknownPhase().empty())
        return false;
    // Of several versions, none may be used before it is known which one is the target of an order.
    return std::none_of(m_unprovenServices.begin(), m_unprovenServices.end(), [this](auto const& service) {
        auto const upstreams = m_serviceTable.upstreamsOf(service);
        return std::none_of(upstreams.begin(), upstreams.end(), [](auto const& upstream) { return upstream.role == UpstreamRole::Serving; });
    });
}

void RolloutController::setPeers(std::vector<FleetPeer> const& peers)
{
    m_peers = peers;
    std::erase_if(*m_peers, [this](auto const& peer) { return peer.id == m_self.id; });
    for (auto const& [service, rollout] : m_rollouts)
        rollout->coordinator().setPeers(*m_peers, m_now());
    applyChanges();
}

// A message about an order that is not known here is of no use: its sender will repeat what it says.
bool RolloutController::receive(VMId from, std::string_view body)
{
    auto const message = decodeRolloutMessage(body);
    if (!message)
        return false;
    auto const order = std::visit([](auto const& content) { return content.order; }, *message);
    for (auto const& [service, rollout] : m_rollouts) {
        if (rollout->order().id == order)
            rollout->coordinator().receive(from, *message, m_now());
    }
    applyChanges();
    return true;
}

void RolloutController::tick()
{
    auto const now = m_now();
    m_book.tick(now);
    for (auto const& [service, rollout] : m_rollouts) {
        rollout->coordinator().tick(now);
        logEvidence(*rollout);
        // Upstreams may have begun to leave, or the lease has expired.
        if (isInProgress(rollout->phase()))
            m_changedServices.insert(service);
    }
    readStatusesIfNeeded();
    recordAgainAfterRestore();
    applyChanges();
}

// Changes are applied only after the book and the coordinators have returned, since they may replace
// the coordinator that has caused them.
void RolloutController::applyChanges()
{
    m_changedServices.insert(m_unprovenServices.begin(), m_unprovenServices.end());
    auto const services = std::exchange(m_changedServices, {});
    for (auto const& service : services)
        updateService(service);
    if (!m_changedServices.empty())
        applyChanges();
}

void RolloutController::updateService(std::string const& service)
{
    std::set<std::string> versions;
    for (auto const& upstream : m_serviceTable.upstreamsOf(service))
        versions.insert(upstream.version);
    m_sightings.update(service, versions, m_now());
    if (auto const state = m_book.state(service, m_now()))
        updateRollout(service, *state);
    assignRoles(service);
}

// An order whose phase is not known is not carried out: it may have been completed.
void RolloutController::updateRollout(std::string const& service, RolloutState const& state)
{
    if (!state.isPhaseKnown) {
        m_rollouts.erase(service);
        return;
    }
    auto const known = m_rollouts.find(service);
    bool const isNew = known == m_rollouts.end() || known->second->order() != state.order;
    if (isNew)
        startRollout(state);
    auto& rollout = *m_rollouts.at(service);
    bool const hasNewPhase = isNew || rollout.phase() != state.phase;
    rollout.setState(state, m_now());
    if (!hasNewPhase)
        return;
    logEvent(LogLevel::Info, "rollout-phase", { { "service", service }, { "version", state.order.version }, { "order", nameOf(state.order.id) }, { "phase", nameOf(state.phase) }, { "elapsed_ms", milliseconds(state.elapsed) }, { "judge", rollout.coordinator().isJudge() ? 1 : 0 } });
    m_hooks.changed();
}

void RolloutController::startRollout(RolloutState const& state)
{
    auto const& order = state.order;
    bool const wasServing = isServingAlone(m_serviceTable.upstreamsOf(order.service), order.version);
    auto rollout = std::make_unique<ServiceRollout>(order, wasServing, takeSlack(state), m_schedule, m_self, m_random, coordinatorHooks(order));
    if (m_peers)
        rollout->coordinator().setPeers(*m_peers, m_now());
    m_rollouts[order.service] = std::move(rollout);
    logEvent(LogLevel::Info, "rollout-ordered", { { "service", order.service }, { "version", order.version }, { "order", nameOf(order.id) }, { "duration_ms", milliseconds(order.duration) }, { "elapsed_ms", milliseconds(state.elapsed) } });
}

// Each process takes its part once for each order, so that the fleet stays within the slack whichever daemons
// are restarted or added.
uint64_t RolloutController::takeSlack(RolloutState const& state)
{
    auto const orderedAt = m_now() - state.elapsed;
    if (!m_peers || orderedAt < m_startedAt + minRunBeforeOrder || !m_ordersWithSlack.insert(state.order.id).second)
        return 0;
    auto const rankOf = [&state](VMId daemon) { return mixHashes(state.order.id.value(), daemon.value()); };
    // Daemons that have left of late may have taken their parts of a larger fleet before.
    auto const others = m_hooks.daemonsWithShare();
    auto const rank = std::count_if(others.begin(), others.end(), [&](VMId other) { return rankOf(other) > rankOf(m_self.id); });
    return m_schedule.slackOf(static_cast<size_t>(rank), others.size() + 1);
}

void RolloutController::logEvidence(ServiceRollout const& rollout)
{
    auto const& order = rollout.order();
    auto& loggedAt = m_evidenceLoggedAt[order.service];
    if (isFinal(rollout.phase()) || !rollout.coordinator().isJudge() || m_now() - loggedAt < evidenceLogInterval)
        return;
    loggedAt = m_now();
    auto const verdict = rollout.coordinator().verdict();
    logEvent(LogLevel::Info, "rollout-evidence", { { "service", order.service }, { "version", order.version }, { "order", nameOf(order.id) }, { "phase", nameOf(rollout.phase()) }, { "evidence", verdict.evidence }, { "answers", verdict.newVersion.answers }, { "bad_answers", verdict.newVersion.bad }, { "old_answers", verdict.oldVersion.answers }, { "old_bad_answers", verdict.oldVersion.bad }, { "accepted", verdict.isAccepted ? 1 : 0 }, { "unproven_routes", verdict.unprovenRoutes }, { "proven_under_load", verdict.isProvenUnderLoad ? 1 : 0 } });
}

RolloutCoordinator::Hooks RolloutController::coordinatorHooks(RolloutOrder const& order)
{
    RolloutCoordinator::Hooks hooks;
    hooks.send = [this](VMId to, RolloutMessage const& message) { m_hooks.send(to, encodeRolloutMessage(message)); };
    hooks.record = [this](RolloutCoordinator::RecordRequest const& request) { record(request, true); };
    hooks.runningAtOldVersion = [this, order] { return runningAtOtherVersions(order.service, order.version); };
    hooks.raise = [this, order](RolloutPhase phase) { m_book.raise(order.service, order.id, phase, m_now()); };
    hooks.isServing = [this, order] { return isTargetServing(order.service); };
    hooks.condemned = [this, order](VersionVerdict const& verdict) { logCondemned(order, verdict); };
    return hooks;
}

void RolloutController::logCondemned(RolloutOrder const& order, VersionVerdict const& verdict)
{
    auto const* rollout = find(order.service, order.id);
    auto const age = rollout ? rollout->coordinator().evidenceAge(m_now()) : Microseconds(0);
    logEvent(LogLevel::Warning, "rollout-condemned", { { "service", order.service }, { "version", order.version }, { "order", nameOf(order.id) }, { "evidence", verdict.evidence }, { "answers", verdict.newVersion.answers }, { "bad_answers", verdict.newVersion.bad }, { "old_answers", verdict.oldVersion.answers }, { "old_bad_answers", verdict.oldVersion.bad }, { "evidence_age_ms", milliseconds(age) } });
}

bool RolloutController::mayUseOldVersion(ServiceRollout const& rollout) const
{
    return !isInProgress(rollout.phase()) || rollout.coordinator().mayUseOldVersion(m_now());
}

// There is nothing to be tried, and no other version to keep.
bool RolloutController::isTargetServing(std::string const& service) const
{
    auto const* rollout = find(service);
    auto const state = m_book.state(service, m_now());
    return rollout && state && rollout->wasServing() && areOthersBarred(m_serviceTable.upstreamsOf(service), *state);
}

void RolloutController::assignRoles(std::string const& service)
{
    RolloutRoleInputs inputs;
    inputs.upstreams = m_serviceTable.upstreamsOf(service);
    inputs.unprovenVersions = m_sightings.unprovenVersions(service, provenAt());
    inputs.state = m_book.state(service, m_now());
    if (auto const* rollout = find(service)) {
        inputs.mayUseOldVersion = mayUseOldVersion(*rollout);
        m_assumedLeases[service] = inputs.mayUseOldVersion;
        inputs.isSpendingSlack = rollout->exposure().isSpendingSlack();
        inputs.isTargetServing = isTargetServing(service);
        if (rollout->doneAt())
            inputs.versionsAfterDone = m_sightings.versionsAddedSince(service, *rollout->doneAt());
    }
    if (inputs.unprovenVersions.empty())
        m_unprovenServices.erase(service);
    else
        m_unprovenServices.insert(service);
    m_serviceTable.setVersionRoles(service, computeVersionRoles(inputs, m_schedule));
}

// A lease expires between two ticks as well.
void RolloutController::updateLease(std::string const& service, ServiceRollout const& rollout)
{
    if (mayUseOldVersion(rollout) != m_assumedLeases[service])
        assignRoles(service);
}

ServiceRollout* RolloutController::find(std::string const& service)
{
    auto const found = m_rollouts.find(service);
    return found == m_rollouts.end() ? nullptr : found->second.get();
}

ServiceRollout const* RolloutController::find(std::string const& service) const
{
    auto const found = m_rollouts.find(service);
    return found == m_rollouts.end() ? nullptr : found->second.get();
}

ServiceRollout* RolloutController::find(std::string const& service, RolloutId order)
{
    auto* rollout = find(service);
    return rollout && rollout->order().id == order ? rollout : nullptr;
}

UpstreamRole RolloutController::roleForRequest(std::string const& service, RouteId route, std::optional<uint64_t> context)
{
    auto* rollout = find(service);
    if (!rollout)
        return UpstreamRole::Serving;
    rollout->exposure().requested(route);
    updateLease(service, *rollout);
    bool const hasCandidates = isInProgress(rollout->phase()) && m_assumedLeases[service];
    return hasCandidates && rollout->exposure().shouldTry(rollout->phase(), route, context) ? UpstreamRole::Candidate : UpstreamRole::Serving;
}

std::optional<VersionedSend> RolloutController::startSend(UpstreamId upstream, UpstreamRole role, RouteId route)
{
    auto const* target = m_serviceTable.target(upstream);
    if (!target)
        return {};
    auto* rollout = find(target->service);
    if (rollout)
        updateLease(target->service, *rollout);
    if (m_serviceTable.role(upstream) != role)
        return {};
    if (role == UpstreamRole::Candidate && (!rollout || !rollout->exposure().allows(rollout->phase())))
        return {};
    if (rollout) {
        rollout->recordSend(target->version, route);
        m_metrics.count("stagepost_rollout_sends_total", labels(target->service, target->version));
    }
    ++m_running[target->service][target->version];
    return VersionedSend { target->service, target->version, role };
}

// A version's share may be less than the load of one of the old upstreams.
bool RolloutController::isUnderLoad(VersionedSend const& send, double inFlight, double meanOfServing) const
{
    auto const* rollout = find(send.service);
    if (!rollout || !isInProgress(rollout->phase()))
        return false;
    auto const upstreams = m_serviceTable.upstreamsOf(send.service);
    auto const serving = std::count_if(upstreams.begin(), upstreams.end(), [](auto const& upstream) { return upstream.role == UpstreamRole::Serving; });
    auto const reachable = std::min(1.0, m_schedule.share * static_cast<double>(serving));
    return inFlight >= reachable * meanOfServing;
}

void RolloutController::finishSend(VersionedSend const& send)
{
    auto& running = m_running[send.service];
    if (auto const count = running.find(send.version); count != running.end() && !--count->second)
        running.erase(count);
}

void RolloutController::recordAnswer(VersionedSend const& send, AnswerSample const& sample, bool isFirstAnswer, Instant endedAt)
{
    auto* rollout = find(send.service);
    if (rollout && isFirstAnswer)
        rollout->exposure().answered();
    auto const state = m_book.state(send.service, m_now());
    if (state && state->barredVersions.contains(send.version))
        return;
    auto& classifier = m_classifiers.try_emplace(send.service, AnswerClassifier::Bounds {}).first->second;
    bool const isOldVersion = !rollout || send.version != rollout->order().version;
    auto const verdict = classifier.classify(sample, isOldVersion, endedAt);
    if (!rollout)
        return;
    rollout->recordAnswer(send.version, sample, verdict, m_now());
    if (verdict == AnswerClassifier::Verdict::Failed || verdict == AnswerClassifier::Verdict::Slow)
        m_metrics.count("stagepost_rollout_bad_answers_total", labels(send.service, send.version) + (verdict == AnswerClassifier::Verdict::Slow ? ",reason=\"slow\"" : ",reason=\"failed\""));
    applyChanges();
}

size_t RolloutController::runningAt(std::string const& service, std::string const& version) const
{
    auto const found = m_running.find(service);
    if (found == m_running.end())
        return 0;
    auto const count = found->second.find(version);
    return count == found->second.end() ? 0 : count->second;
}

size_t RolloutController::runningAtOtherVersions(std::string const& service, std::string const& version) const
{
    size_t result = 0;
    if (auto const found = m_running.find(service); found != m_running.end()) {
        for (auto const& [running, count] : found->second)
            result += running == version ? 0 : count;
    }
    return result;
}

// The statuses are read once after the start, since an order that was removed may still have to be
// concluded, and whenever an order is known but not its phase.
void RolloutController::readStatusesIfNeeded()
{
    auto const now = m_now();
    bool const isNeeded = (m_needsStatuses && m_book.age().isKnown()) || !m_book.servicesWithUnknownPhase().empty();
    if (!isNeeded || m_isReadingStatuses || now < m_nextStatusReadAt)
        return;
    m_isReadingStatuses = true;
    m_nextStatusReadAt = now + statusReadInterval;
    m_hooks.records.read([this](Result<RolloutStatuses> const& statuses) { handleStatuses(statuses); });
}

void RolloutController::handleStatuses(Result<RolloutStatuses> const& statuses)
{
    m_isReadingStatuses = false;
    if (!statuses)
        return;
    m_needsStatuses = false;
    auto const now = m_now();
    for (auto const& service : m_book.servicesWithUnknownPhase()) {
        if (!statuses->contains(service))
            m_book.applyRecorded(service, {}, now);
    }
    for (auto const& [service, status] : *statuses)
        m_book.applyRecorded(service, status, now);
    applyChanges();
    for (auto const& [service, rollout] : m_rollouts) {
        auto const status = statuses->find(service);
        bool const isOfOrder = status != statuses->end() && status->second.order == rollout->order().id;
        rollout->coordinator().setRecorded(isOfOrder ? std::optional(status->second.phase) : std::nullopt, now);
    }
}

void RolloutController::record(RolloutCoordinator::RecordRequest const& request, bool isOfCoordinator)
{
    m_hooks.records.record(request, [this, request, isOfCoordinator](RolloutRecordOutcome const& outcome) { handleRecorded(request, outcome, isOfCoordinator); });
}

void RolloutController::handleRecorded(RolloutCoordinator::RecordRequest const& request, RolloutRecordOutcome const& outcome, bool isOfCoordinator)
{
    using RecordResult = RolloutCoordinator::RecordResult;
    auto const& order = request.order;
    if (outcome.found)
        m_book.applyRecorded(order.service, outcome.found, m_now());
    // Coordinators also read the record to see that it has not changed.
    if (outcome.isAppended || outcome.result == RecordResult::Superseded)
        logEvent(LogLevel::Info, "rollout-recorded", { { "service", order.service }, { "version", order.version }, { "order", nameOf(order.id) }, { "phase", nameOf(request.phase) }, { "superseded", outcome.result == RecordResult::Superseded ? 1 : 0 }, { "found", outcome.found ? nameOf(outcome.found->phase) : "" }, { "elapsed_ms", milliseconds(request.elapsed) } });
    if (auto* rollout = find(order.service, order.id); rollout && isOfCoordinator)
        rollout->coordinator().recordFinished(outcome.result, m_now());
    applyChanges();
}

// Only what the store lacks is appended.
void RolloutController::recordAgainAfterRestore()
{
    auto const now = m_now();
    if (!m_repetitionsAfterRestore || now < m_nextRepetitionAt)
        return;
    --m_repetitionsAfterRestore;
    m_nextRepetitionAt = now + repetitionInterval;
    for (auto const& [service, rollout] : m_rollouts) {
        auto const state = m_book.state(service, now);
        if (state && state->isPhaseKnown)
            record({ state->order, state->phase, state->elapsed }, false);
    }
}

}
