// Places a few chats with LibRouting alone: no socket, no thread, no clock. The
// program is its own network and its own time.

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

    // A fleet of one daemon sends nothing: it owns every upstream itself.
    AdmissionController::Hooks hooks {
        [](VMId, std::string const&) {},
        [](PoolId) { return PoolPolicy {}; },
        [](OrganisationId) { return OrganisationLimits {}; },
        [](OrganisationId) { return 1.0; },
        [&random] { return random(); },
    };
    AdmissionController node(self, std::move(hooks));
    std::vector<UpstreamView> upstreams;
    for (auto const* name : { "engine-1", "engine-2", "engine-3" })
        upstreams.push_back({ UpstreamId::fromName(name), pool, hall, false, 1 });
    Instant now {};
    node.setView({ self, hall, upstreams, { { self, hall, false } } }, now);

    int placed = 0;
    int found = 0;
    for (int turn = 0; turn < 2; ++turn) {
        for (uint64_t chat = 1; chat <= 9; ++chat) {
            PlacementRequest request;
            request.pool = pool;
            request.chat = ChatId(chat);
            request.organisation = OrganisationId::fromName("organisations.club");
            request.contextTokens = turn ? 1000 : 0;
            request.deadline = now + Seconds(10);
            node.acquire(request, now, [&](Placement const& placement) {
                auto const* lease = std::get_if<Lease>(&placement);
                if (!lease)
                    return;
                ++placed;
                found += lease->holdsContext;
                node.release(lease->id, LeaseOutcome::Succeeded, now);
            });
            now += Milliseconds(100);
            node.tick(now);
        }
    }
    std::cout << "placed=" << placed << " found_context=" << found << '\n';
    // Every chat of the second turn finds its context again.
    return placed == 18 && found == 9 ? 0 : 1;
}
