#include <LibRollout/RolloutState.h>

namespace Stagepost {

std::string_view nameOf(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::Trial:
        return "trial";
    case RolloutPhase::FirstRamp:
        return "ramp-1";
    case RolloutPhase::SecondRamp:
        return "ramp-2";
    case RolloutPhase::LastRamp:
        return "ramp-3";
    case RolloutPhase::Moved:
        return "moved";
    case RolloutPhase::RolledBack:
        return "rolled-back";
    case RolloutPhase::Done:
        return "done";
    }
    return "unknown";
}

RolloutPhase readRolloutPhase(MessageReader& reader)
{
    auto const number = reader.number();
    if (number > static_cast<uint64_t>(RolloutPhase::Done)) {
        reader.fail();
        return RolloutPhase::Trial;
    }
    return static_cast<RolloutPhase>(number);
}

namespace {

    void write(MessageWriter& writer, std::optional<ReplacedOrder> const& replaced)
    {
        writer.number(replaced ? 1 : 0);
        if (!replaced)
            return;
        writer.id(replaced->id);
        writer.text(replaced->version);
        writer.number(static_cast<uint64_t>(replaced->phase));
    }

    std::optional<ReplacedOrder> readReplacedOrder(MessageReader& reader)
    {
        if (!reader.number())
            return std::nullopt;
        ReplacedOrder replaced;
        replaced.id = reader.id<RolloutId>();
        replaced.version = reader.text();
        replaced.phase = readRolloutPhase(reader);
        return replaced;
    }

    void write(MessageWriter& writer, RolloutState const& state)
    {
        writer.id(state.order.id);
        writer.text(state.order.service);
        writer.text(state.order.version);
        writer.duration(state.order.duration);
        writer.number(static_cast<uint64_t>(state.phase));
        writer.number(state.isPhaseKnown ? 1 : 0);
        writer.duration(state.elapsed);
        writer.number(state.barredVersions.size());
        for (auto const& version : state.barredVersions)
            writer.text(version);
        write(writer, state.replaced);
    }

    RolloutState readRolloutState(MessageReader& reader)
    {
        RolloutState state;
        state.order.id = reader.id<RolloutId>();
        state.order.service = reader.text();
        state.order.version = reader.text();
        state.order.duration = reader.duration();
        state.phase = readRolloutPhase(reader);
        state.isPhaseKnown = reader.number() != 0;
        state.elapsed = reader.duration();
        for (auto left = reader.count(); left && !reader.failed(); --left)
            state.barredVersions.insert(reader.text());
        state.replaced = readReplacedOrder(reader);
        return state;
    }

}

void write(MessageWriter& writer, RolloutStates const& states)
{
    writer.number(states.position);
    writer.number(states.states.size());
    for (auto const& state : states.states)
        write(writer, state);
}

RolloutStates readRolloutStates(MessageReader& reader)
{
    RolloutStates states;
    states.position = reader.number();
    for (auto left = reader.count(); left && !reader.failed(); --left)
        states.states.push_back(readRolloutState(reader));
    return states;
}

}
