#include <LibBase/TextDelta.h>
#include <algorithm>
#include <stagepostd/SettingsHistory.h>

namespace Stagepost {

void SettingsHistory::add(uint64_t version, SettingsText text, std::optional<ToldSettings> const& told)
{
    bool const leadsOn = told && told->base && told->base == m_version;
    if (leadsOn)
        m_steps.insert(m_steps.end(), told->steps.begin(), told->steps.end());
    else if (m_version)
        m_steps.push_back({ version, makeDelta(*m_text, *text) });
    else
        m_base = version;
    while (m_steps.size() > mostSteps) {
        m_base = m_steps.front().version;
        m_steps.pop_front();
    }
    m_version = version;
    m_text = std::move(text);
    m_whole.clear();
}

ToldSettings SettingsHistory::since(uint64_t known) const
{
    ToldSettings told { version(), 0, {}, 0 };
    if (!m_version || known == m_version)
        return told;
    auto const last = std::find_if(m_steps.begin(), m_steps.end(), [known](auto const& step) { return step.version == known; });
    if (known && (known == m_base || last != m_steps.end())) {
        told.base = known;
        told.steps.assign(known == m_base ? m_steps.begin() : last + 1, m_steps.end());
    } else {
        if (m_whole.empty())
            m_whole = makeDelta({}, *m_text);
        told.steps = { { m_version, m_whole } };
    }
    size_t bytes = 0;
    for (auto const& step : told.steps)
        bytes += step.delta.size();
    if (bytes > mostBytes)
        return { m_version, 0, {}, 0 };
    return told;
}

Result<std::string> SettingsHistory::textOf(ToldSettings const& told) const
{
    if (told.steps.empty())
        return Error(ErrorCode::Malformed, "no configuration was told");
    if (told.base && told.base != m_version)
        return Error(ErrorCode::Malformed, "it leads on from another configuration");
    std::string text = told.base ? *m_text : std::string();
    for (auto const& step : told.steps)
        text = TRY(applyDelta(text, step.delta));
    return text;
}

}
