#include "fault_switch.hpp"

#include <array>

namespace gentianramp {

namespace {

struct FaultName
{
    FaultKind kind;
    std::string_view name;
};

constexpr std::array FaultNames{
    FaultName{FaultKind::None, "none"},
    FaultName{FaultKind::CrashMidStream, "crash_mid_stream"},
    FaultName{FaultKind::Hang, "hang"},
    FaultName{FaultKind::Blackhole, "blackhole"},
    FaultName{FaultKind::Refuse, "refuse"},
    FaultName{FaultKind::Slow, "slow"},
    FaultName{FaultKind::LoseAnswer, "lose_answer"},
    FaultName{FaultKind::Leave, "leave"},
};

} // namespace

std::optional<FaultKind> parseFaultKind(std::string_view text)
{
    for (const FaultName &entry : FaultNames) {
        if (entry.name == text)
            return entry.kind;
    }
    return std::nullopt;
}

bool FaultSwitch::take(FaultKind kind) noexcept
{
    if (m_kind != kind || m_left == 0)
        return false;
    --m_left;
    return true;
}

} // namespace gentianramp
