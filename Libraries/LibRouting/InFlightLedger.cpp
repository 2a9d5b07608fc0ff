#include <LibRouting/InFlightLedger.h>

#include <algorithm>
#include <cmath>

namespace Stagepost {

namespace {

    // A daemon that dies leaves its share behind. After four holds two in a hundred of its
    // requests would still run; the bounds are for holds that are not known well.
    constexpr int holdsInMemory = 4;
    constexpr Microseconds leastMemory { 6000000 };
    constexpr Microseconds mostMemory { 30000000 };
    // Said again well before it is forgotten, so that one message may be lost.
    constexpr int repeatsInMemory = 3;
    // An owner that has just become one goes by the forecast as well, until most of what
    // was sent before has ended.
    constexpr int holdsUntilKnown = 2;

}

Microseconds ledgerMemory(Microseconds hold)
{
    return std::clamp(holdsInMemory * hold, leastMemory, mostMemory);
}

Microseconds ledgerRepeat(Microseconds hold)
{
    return ledgerMemory(hold) / repeatsInMemory;
}

InFlightLedger::Account& InFlightLedger::account(UpstreamId upstream, Instant now)
{
    auto const [entry, isNew] = m_accounts.try_emplace(upstream);
    if (isNew)
        entry->second.since = now;
    entry->second.heardAt = now;
    return entry->second;
}

size_t InFlightLedger::sum(Account const& account)
{
    size_t total = 0;
    for (auto const& [daemon, share] : account.shares)
        total += share.count;
    return total;
}

size_t InFlightLedger::believed(UpstreamId upstream, Account const& account, Instant now) const
{
    auto const counted = sum(account);
    auto const forecast = m_forecast(upstream);
    if (now - account.since > holdsUntilKnown * forecast.hold)
        return counted;
    return std::max(counted, static_cast<size_t>(std::llround(forecast.inFlight)));
}

LedgerVerdict InFlightLedger::ask(VMId from, UpstreamId upstream, size_t ownInFlight, size_t limit, Instant now)
{
    told(from, upstream, ownInFlight, now);
    auto& account = m_accounts.at(upstream);
    auto const count = believed(upstream, account, now);
    LedgerVerdict const verdict { count < limit, count };
    if (verdict.isGranted)
        account.shares[from] = { ownInFlight + 1, now };
    return verdict;
}

void InFlightLedger::told(VMId from, UpstreamId upstream, size_t ownInFlight, Instant now)
{
    auto& shares = account(upstream, now).shares;
    if (ownInFlight)
        shares[from] = { ownInFlight, now };
    else
        shares.erase(from);
}

void InFlightLedger::tick(Instant now)
{
    for (auto entry = m_accounts.begin(); entry != m_accounts.end();) {
        auto& account = entry->second;
        auto const memory = ledgerMemory(m_forecast(entry->first).hold);
        std::erase_if(account.shares, [&](auto const& share) { return now - share.second.heardAt > memory; });
        bool const isForgotten = account.shares.empty() && now - account.heardAt > memory;
        entry = isForgotten ? m_accounts.erase(entry) : std::next(entry);
    }
}

size_t InFlightLedger::count(UpstreamId upstream) const
{
    auto const found = m_accounts.find(upstream);
    return found == m_accounts.end() ? 0 : sum(found->second);
}

}
