#pragma once

#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>
#include <LibRollout/AnswerSample.h>
#include <LibRollout/RolloutOrder.h>
#include <array>
#include <cstdint>
#include <map>

namespace Stagepost {

struct AnswerCounts {
    uint64_t answers { 0 };
    uint64_t bad { 0 };

    AnswerCounts& operator+=(AnswerCounts const&);
    // The increase since earlier counts of the same sender; zero where these are higher.
    AnswerCounts since(AnswerCounts const& earlier) const;
    bool operator==(AnswerCounts const&) const = default;
};

// The answers of both versions of a service since an order, as counted by a daemon or summed up for
// a hall. The counts only increase, so a lost message does no harm.
class RolloutEvidence {
public:
    // The new version's upstreams are counted in groups, so that a single bad upstream can be
    // told from a bad version and messages stay small.
    static constexpr size_t groupCount = 8;
    static size_t groupOf(UpstreamId upstream) { return upstream.value() % groupCount; }

    struct RouteCounts {
        AnswerCounts oldVersion;
        std::array<AnswerCounts, groupCount> newVersion {};

        RouteCounts& operator+=(RouteCounts const&);
        RouteCounts since(RouteCounts const& earlier) const;
        bool operator==(RouteCounts const&) const = default;
    };

    void recordOld(RouteId, bool isBad, bool isUnderLoad = false);
    void recordNew(RouteId, UpstreamId, bool isBad, bool isUnderLoad = false);

    std::map<RouteId, RouteCounts> const& routes() const { return m_routes; }
    // The answers of all routes whose upstreams had about the load of the old version's when they got the request.
    RouteCounts const& underLoad() const { return m_underLoad; }
    AnswerCounts newVersionTotal() const;
    RolloutEvidence& operator+=(RolloutEvidence const&);
    RolloutEvidence since(RolloutEvidence const& earlier) const;
    bool operator==(RolloutEvidence const&) const = default;

private:
    friend void write(MessageWriter&, RolloutEvidence const&);
    friend RolloutEvidence readRolloutEvidence(MessageReader&);
    std::map<RouteId, RouteCounts> m_routes;
    RouteCounts m_underLoad;
};

void write(MessageWriter&, RolloutEvidence const&);
RolloutEvidence readRolloutEvidence(MessageReader&);

}
