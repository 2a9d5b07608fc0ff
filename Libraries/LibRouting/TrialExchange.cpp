#include <LibRouting/TrialExchange.h>

#include <LibBase/Hash.h>
#include <algorithm>
#include <utility>

namespace Stagepost {

TrialExchange::TrialExchange(FleetPeer self, Bounds bounds, Hooks hooks)
    : m_self(self)
    , m_bounds(bounds)
    , m_hooks(std::move(hooks))
    , m_fleet { self.id }
    , m_leases(bounds.leases)
    , m_numbers(m_hooks.random)
{
}

void TrialExchange::setPeers(std::vector<FleetPeer> const& peers)
{
    m_fleet = { m_self.id };
    for (auto const& peer : peers) {
        if (peer.id != m_self.id)
            m_fleet.push_back(peer.id);
    }
}

std::vector<VMId> TrialExchange::arbitersOf(Fingerprint subject) const
{
    auto arbiters = m_fleet;
    auto const count = std::min(m_bounds.arbiterCount, arbiters.size());
    auto const isBefore = [subject](VMId one, VMId other) { return mixHashes(subject.value(), one.value()) > mixHashes(subject.value(), other.value()); };
    std::partial_sort(arbiters.begin(), arbiters.begin() + static_cast<ptrdiff_t>(count), arbiters.end(), isBefore);
    arbiters.resize(count);
    return arbiters;
}

void TrialExchange::request(Fingerprint subject, Callback callback, Instant now)
{
    bool const isAskedFor = std::any_of(m_trials.begin(), m_trials.end(), [subject](auto const& entry) { return entry.second.subject == subject; });
    auto const pause = m_pausedUntil.find(subject);
    bool const isPaused = pause != m_pausedUntil.end() && now < pause->second;
    if (isAskedFor || isPaused || m_trials.size() >= m_bounds.maxTrials)
        return callback({});
    auto const number = m_numbers.nextAbout(subject.value());
    auto& trial = m_trials.emplace(number, Trial { subject, arbitersOf(subject), {}, now + m_bounds.responseTimeout, {}, std::move(callback) }).first->second;
    askArbiters(number, trial, now);
    finishIfDecided(number, now);
}

void TrialExchange::askArbiters(uint64_t number, Trial& trial, Instant now)
{
    trial.nextRenewalAt = now + m_bounds.renewalInterval;
    for (auto const arbiter : trial.arbiters) {
        if (arbiter == m_self.id)
            trial.responses[arbiter] = decideHere(number, trial, now);
        else
            m_hooks.send(arbiter, encodeTrialMessage(TrialQuery { number, trial.subject }));
    }
}

bool TrialExchange::decideHere(uint64_t number, Trial const& trial, Instant now)
{
    return m_leases.acquire(trial.subject, { m_self.id, number }, now);
}

std::optional<bool> TrialExchange::decisionOf(Trial const& trial, Instant now) const
{
    for (auto const arbiter : trial.arbiters) {
        if (auto const response = trial.responses.find(arbiter); response != trial.responses.end())
            return response->second;
        if (now < trial.deadline)
            return {};
    }
    return {};
}

void TrialExchange::finishIfDecided(uint64_t number, Instant now)
{
    auto const found = m_trials.find(number);
    if (found == m_trials.end() || !found->second.callback)
        return;
    auto& trial = found->second;
    auto decision = decisionOf(trial, now);
    if (!decision && now >= trial.deadline)
        decision = decideHere(number, trial, now);
    if (!decision)
        return;
    auto const callback = std::exchange(trial.callback, nullptr);
    if (*decision)
        return callback(number);
    recordDenial(trial.subject, now);
    release(number, trial, TrialOutcome::NotSent, now);
    m_trials.erase(found);
    callback({});
}

void TrialExchange::recordDenial(Fingerprint subject, Instant now)
{
    m_pausedUntil[subject] = now + std::max<Microseconds>(m_bounds.denialPause, m_fleet.size() * m_bounds.denialPausePerDaemon);
}

void TrialExchange::end(uint64_t number, TrialOutcome outcome, Instant now)
{
    auto const trial = m_trials.extract(number);
    if (trial.empty())
        return;
    if (outcome == TrialOutcome::NotSent)
        m_pausedUntil[trial.mapped().subject] = now + m_bounds.unsentPause;
    release(number, trial.mapped(), outcome, now);
}

void TrialExchange::release(uint64_t number, Trial const& trial, TrialOutcome outcome, Instant now)
{
    m_leases.release(trial.subject, { m_self.id, number }, outcome, now);
    for (auto const arbiter : trial.arbiters) {
        if (arbiter != m_self.id)
            m_hooks.send(arbiter, encodeTrialMessage(TrialEnd { number, trial.subject, outcome }));
    }
}

Result<void> TrialExchange::receive(VMId from, std::string_view bytes, Instant now)
{
    auto const message = TRY(decodeTrialMessage(bytes));
    if (auto const* query = std::get_if<TrialQuery>(&message)) {
        m_hooks.send(from, encodeTrialMessage(TrialResponse { query->trial, m_leases.acquire(query->subject, { from, query->trial }, now) }));
    } else if (auto const* end = std::get_if<TrialEnd>(&message)) {
        m_leases.release(end->subject, { from, end->trial }, end->outcome, now);
    } else {
        auto const& response = std::get<TrialResponse>(message);
        auto const found = m_trials.find(response.trial);
        if (found == m_trials.end())
            return {};
        auto& arbiters = found->second.arbiters;
        if (std::find(arbiters.begin(), arbiters.end(), from) != arbiters.end())
            found->second.responses[from] = response.isGranted;
        finishIfDecided(response.trial, now);
    }
    return {};
}

void TrialExchange::tick(Instant now)
{
    m_leases.prune(now);
    std::erase_if(m_pausedUntil, [now](auto const& entry) { return entry.second <= now; });
    std::vector<uint64_t> undecided;
    for (auto& [number, trial] : m_trials) {
        if (trial.callback)
            undecided.push_back(number);
        else if (now >= trial.nextRenewalAt)
            askArbiters(number, trial, now);
    }
    for (auto const number : undecided)
        finishIfDecided(number, now);
}

}
