#pragma once

#include <cstdint>
#include <gentianramp/engine/engine_model.hpp>
#include <gentianramp/planner/role_policy.hpp>
#include <gentianramp/routing/fleet_view.hpp>
#include <memory>
#include <optional>
#include <string>

namespace gentianramp {

/// An engine model with the drain and role change that it is ordered to make.
class VirtualEngine
{
public:
    VirtualEngine(BackendView view, const EngineModelOptions &options, TimePoint start);

    EngineModel &model() { return m_model; }
    const EngineModel &model() const { return m_model; }
    const BackendId &id() const { return m_view.id; }

    /// Begins to drain; the role changes once nothing is outstanding.
    void order(EngineRole role, TimePoint now);
    /// Carries on with an ordered change; returns true when it ended.
    bool step(TimePoint now);
    /// The engine as a fleet table shows it.
    BackendView view() const;
    EngineStatus status(TimePoint now) const;

private:
    BackendView m_view;
    EngineModel m_model;
    std::optional<EngineRole> m_ordered;
    bool m_changing = false;
    TimePoint m_roleSince{};
};

} // namespace gentianramp
