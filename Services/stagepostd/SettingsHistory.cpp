#include <LibBase/TextDelta.h>
#include <algorithm>
#include <stagepostd/SettingsHistory.h>

namespace Stagepost {

void SettingsHistory::add(uint64_t version, SettingsText text, std::optional<SettingsUpdate> const& update)
{
    bool const extendsCurrent = update && update->base && update->base == m_version;
    if (extendsCurrent)
        m_steps.insert(m_steps.end(), update->steps.begin(), update->steps.end());
    else if (m_version)
        m_steps.push_back({ version, makeDelta(*m_text, *text) });
    else
        m_base = version;
    while (m_steps.size() > maxSteps) {
        m_base = m_steps.front().version;
        m_steps.pop_front();
    }
    m_version = version;
    m_text = std::move(text);
    m_fullDelta.clear();
}

SettingsUpdate SettingsHistory::updateSince(uint64_t known) const
{
    SettingsUpdate update { version(), 0, {}, 0 };
    if (!m_version || known == m_version)
        return update;
    auto const last = std::find_if(m_steps.begin(), m_steps.end(), [known](auto const& step) { return step.version == known; });
    if (known && (known == m_base || last != m_steps.end())) {
        update.base = known;
        update.steps.assign(known == m_base ? m_steps.begin() : last + 1, m_steps.end());
    } else {
        if (m_fullDelta.empty())
            m_fullDelta = makeDelta({}, *m_text);
        update.steps = { { m_version, m_fullDelta } };
    }
    size_t bytes = 0;
    for (auto const& step : update.steps)
        bytes += step.delta.size();
    if (bytes > maxUpdateBytes)
        return { m_version, 0, {}, 0 };
    return update;
}

Result<std::string> SettingsHistory::applyUpdate(SettingsUpdate const& update) const
{
    if (update.steps.empty())
        return Error(ErrorCode::Malformed, "the update contains no configuration");
    if (update.base && update.base != m_version)
        return Error(ErrorCode::Malformed, "the update applies to another version");
    std::string text = update.base ? *m_text : std::string();
    for (auto const& step : update.steps)
        text = TRY(applyDelta(text, step.delta));
    return text;
}

}
