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
    // How long an asker's word that an upstream is cold counts: each ask says it again until
    // the asker has learnt that the upstream is warm.
    constexpr Microseconds noticeMemory { 1000000 };

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

// Whoever is asked in place of the first owner counts only what has come to itself.
size_t InFlightLedger::believed(UpstreamForecast const& forecast, Account const& account, bool isFirstOwner, Instant now)
{
    auto const counted = sum(account);
    if (isFirstOwner && now - account.since > holdsUntilKnown * forecast.hold)
        return counted;
    return std::max(counted, static_cast<size_t>(std::llround(forecast.inFlight)));
}

LedgerVerdict InFlightLedger::ask(VMId from, LedgerAsk const& ask, OwnerStanding standing, Instant now)
{
    told(from, ask.upstream, ask.ownInFlight, now);
    auto& account = m_accounts.at(ask.upstream);
    if (ask.cold)
        noteCold(account, *ask.cold, now);
    auto const forecast = m_forecast(ask.upstream);
    auto const count = believed(forecast, account, standing.isFirst, now);
    auto const& cold = forecast.coldBound.exists() ? forecast.coldBound : account.toldBound;
    auto const sends = account.sends.count(coldWindow, now);
    bool const isCold = forecast.isCold || now < account.toldColdUntil;
    if (isCold && sends >= partOf(standing.rank, cold))
        return { false, count, true };
    if (forecast.hasRoomForCaution && sends >= cold.forCaution())
        return { false, count, true };
    LedgerVerdict verdict { count < ask.limit, count };
    verdict.isNewThere = ask.context && !account.contexts.contains(*ask.context);
    if (verdict.isGranted) {
        account.shares[from] = { ask.ownInFlight + 1, now };
        account.sends.add(1, cold.most(), now);
        if (ask.context)
            account.contexts.put(*ask.context, true);
    }
    return verdict;
}

size_t InFlightLedger::partOf(OwnerRank rank, ColdBound const& bound)
{
    switch (rank) {
    case OwnerRank::First:
        return bound.forOwner();
    case OwnerRank::Next:
        return bound.forNextOwner();
    case OwnerRank::Further:
        return 0;
    }
    return 0;
}

void InFlightLedger::noteCold(Account& account, ColdNotice const& notice, Instant now)
{
    account.toldBound = notice.bound;
    account.toldColdUntil = std::max(account.toldColdUntil, now + std::min(notice.left, noticeMemory));
}

// More than a daemon had before and was granted since has gone without this one's word.
void InFlightLedger::noteSends(UpstreamId upstream, Account& account, size_t sends, Instant now)
{
    if (!sends)
        return;
    auto const bound = m_forecast(upstream).coldBound;
    account.sends.add(sends, bound.exists() ? bound.most() : account.toldBound.most(), now);
}

void InFlightLedger::told(VMId from, UpstreamId upstream, size_t ownInFlight, Instant now)
{
    auto& account = this->account(upstream, now);
    auto& shares = account.shares;
    auto const known = shares.find(from);
    auto const before = known == shares.end() ? 0 : known->second.count;
    noteSends(upstream, account, ownInFlight > before ? ownInFlight - before : 0, now);
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
