#include "gentianramp/replay/virtual_engine.hpp"

namespace gentianramp {

VirtualEngine::VirtualEngine(BackendView view, const EngineModelOptions &options, TimePoint start)
    : m_view(std::move(view))
    , m_model(options, start)
{ }

void VirtualEngine::order(EngineRole role, TimePoint now)
{
    if (m_ordered)
        return;
    m_ordered = role;
    m_model.setDraining(true, now);
}

bool VirtualEngine::step(TimePoint now)
{
    if (!m_ordered)
        return false;
    if (!m_changing) {
        if (m_model.outstanding() > 0)
            return false;
        m_model.setRole(*m_ordered, now);
        m_model.setDraining(false, now);
        m_changing = true;
        return false;
    }
    if (m_model.phase() != BackendPhase::Serving)
        return false;
    m_ordered.reset();
    m_changing = false;
    m_roleSince = now;
    return true;
}

BackendView VirtualEngine::view() const
{
    BackendView view = m_view;
    view.role = m_model.role();
    view.phase = m_model.phase();
    return view;
}

EngineStatus VirtualEngine::status(TimePoint now) const
{
    const LoadReport report = m_model.loadReport(now);
    return {.view = view(),
            .targetRole = m_ordered.value_or(m_model.role()),
            .roleSince = m_roleSince,
            .cachedTokens = 0,
            .outstandingOutputTokens = static_cast<double>(report.outputTokens)};
}

} // namespace gentianramp
