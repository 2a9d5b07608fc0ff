#include <LibRollout/RolloutEvidence.h>

#include <algorithm>

namespace Stagepost {

namespace {

    void write(MessageWriter& writer, AnswerCounts const& counts)
    {
        writer.number(counts.answers);
        writer.number(counts.bad);
    }

    AnswerCounts readAnswerCounts(MessageReader& reader)
    {
        AnswerCounts counts;
        counts.answers = reader.number();
        counts.bad = std::min(reader.number(), counts.answers);
        return counts;
    }

    // Most routes have answers of few groups, so only these are written, after a bit set that names them.
    void write(MessageWriter& writer, RolloutEvidence::RouteCounts const& counts)
    {
        write(writer, counts.oldVersion);
        uint64_t groups = 0;
        for (size_t group = 0; group < RolloutEvidence::groupCount; ++group) {
            if (counts.newVersion[group] != AnswerCounts {})
                groups |= uint64_t { 1 } << group;
        }
        writer.number(groups);
        for (size_t group = 0; group < RolloutEvidence::groupCount; ++group) {
            if (groups >> group & 1)
                write(writer, counts.newVersion[group]);
        }
    }

    RolloutEvidence::RouteCounts readRouteCounts(MessageReader& reader)
    {
        RolloutEvidence::RouteCounts counts;
        counts.oldVersion = readAnswerCounts(reader);
        auto const groups = reader.number();
        for (size_t group = 0; group < RolloutEvidence::groupCount; ++group) {
            if (groups >> group & 1)
                counts.newVersion[group] = readAnswerCounts(reader);
        }
        return counts;
    }

}

AnswerCounts& AnswerCounts::operator+=(AnswerCounts const& other)
{
    answers += other.answers;
    bad += other.bad;
    return *this;
}

AnswerCounts AnswerCounts::since(AnswerCounts const& earlier) const
{
    AnswerCounts increase;
    increase.answers = answers - std::min(answers, earlier.answers);
    increase.bad = std::min(bad - std::min(bad, earlier.bad), increase.answers);
    return increase;
}

RolloutEvidence::RouteCounts& RolloutEvidence::RouteCounts::operator+=(RouteCounts const& other)
{
    oldVersion += other.oldVersion;
    for (size_t group = 0; group < groupCount; ++group)
        newVersion[group] += other.newVersion[group];
    return *this;
}

RolloutEvidence::RouteCounts RolloutEvidence::RouteCounts::since(RouteCounts const& earlier) const
{
    RouteCounts increase;
    increase.oldVersion = oldVersion.since(earlier.oldVersion);
    for (size_t group = 0; group < groupCount; ++group)
        increase.newVersion[group] = newVersion[group].since(earlier.newVersion[group]);
    return increase;
}

void RolloutEvidence::recordOld(RouteId route, bool isBad, bool isUnderLoad)
{
    AnswerCounts const answer { 1, isBad ? uint64_t { 1 } : 0 };
    m_routes[route].oldVersion += answer;
    if (isUnderLoad)
        m_underLoad.oldVersion += answer;
}

void RolloutEvidence::recordNew(RouteId route, UpstreamId upstream, bool isBad, bool isUnderLoad)
{
    AnswerCounts const answer { 1, isBad ? uint64_t { 1 } : 0 };
    m_routes[route].newVersion[groupOf(upstream)] += answer;
    if (isUnderLoad)
        m_underLoad.newVersion[groupOf(upstream)] += answer;
}

AnswerCounts RolloutEvidence::newVersionTotal() const
{
    AnswerCounts total;
    for (auto const& [route, counts] : m_routes) {
        for (auto const& group : counts.newVersion)
            total += group;
    }
    return total;
}

RolloutEvidence& RolloutEvidence::operator+=(RolloutEvidence const& other)
{
    for (auto const& [route, counts] : other.m_routes)
        m_routes[route] += counts;
    m_underLoad += other.m_underLoad;
    return *this;
}

RolloutEvidence RolloutEvidence::since(RolloutEvidence const& earlier) const
{
    RolloutEvidence increase;
    increase.m_underLoad = m_underLoad.since(earlier.m_underLoad);
    for (auto const& [route, counts] : m_routes) {
        auto const known = earlier.m_routes.find(route);
        if (known == earlier.m_routes.end()) {
            increase.m_routes.emplace(route, counts);
            continue;
        }
        auto const difference = counts.since(known->second);
        if (difference != RouteCounts {})
            increase.m_routes.emplace(route, difference);
    }
    return increase;
}

void write(MessageWriter& writer, RolloutEvidence const& evidence)
{
    writer.number(evidence.m_routes.size());
    for (auto const& [route, counts] : evidence.m_routes) {
        writer.id(route);
        write(writer, counts);
    }
    write(writer, evidence.m_underLoad);
}

RolloutEvidence readRolloutEvidence(MessageReader& reader)
{
    RolloutEvidence evidence;
    auto const routeCount = reader.count();
    for (size_t index = 0; index < routeCount && !reader.failed(); ++index) {
        auto const route = reader.id<RouteId>();
        evidence.m_routes[route] = readRouteCounts(reader);
    }
    evidence.m_underLoad = readRouteCounts(reader);
    return evidence;
}

}
