// Places several chats using LibRouting alone, without sockets, threads or a clock. The
// program provides the hooks that would send messages, and the current time.

#include <LibRouting/Routing.h>
#include <iostream>
#include <random>

using namespace Stagepost;

int main()
{
    VMId const self = VMId::fromName("entry-1");
    HallId const hall = HallId::fromName("north");
    PoolId const pool = PoolId::fromName("pools.assistant");
    std::mt19937_64 random(1);

    // The only daemon of a fleet owns every upstream, so it has no messages to send.
    AdmissionController::Hooks hooks {
        [](VMId, std::string const&) {},
        [](PoolId) { return PoolPolicy {}; },
        [](OrganisationId) { return OrganisationLimits {}; },
        [](OrganisationId) { return 1.0; },
        [&random] { return random(); },
    };
    AdmissionController admission(self, std::move(hooks));
    std::vector<UpstreamView> upstreams;
    for (auto const* name : { "engine-1", "engine-2", "engine-3" })
        upstreams.push_back({ UpstreamId::fromName(name), pool, hall, false, 1 });
    Instant now {};
    admission.setView({ self, hall, upstreams, { { self, hall, false } } }, now);

    int placed = 0;
    int withContext = 0;
    for (int round = 0; round < 2; ++round) {
        for (uint64_t chat = 1; chat <= 9; ++chat) {
            PlacementRequest request;
            request.pool = pool;
            request.chat = ChatId(chat);
            request.organisation = OrganisationId::fromName("organisations.club");
            request.contextTokens = round ? 1000 : 0;
            request.deadline = now + Seconds(10);
            admission.acquire(request, now, [&](Placement const& placement) {
                auto const* lease = std::get_if<Lease>(&placement);
                if (!lease)
                    return;
                ++placed;
                withContext += lease->holdsContext;
                admission.release(lease->id, LeaseOutcome::Succeeded, now);
            });
            now += Milliseconds(100);
            admission.tick(now);
        }
    }
    std::cout << "placed=" << placed << " found_context=" << withContext << '\n';
    // In the second round, every chat must be placed on the upstream that holds its context.
    return placed == 18 && withContext == 9 ? 0 : 1;
}
