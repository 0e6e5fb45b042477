#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gentianramp {

/// Failures that a fake backend server can be told to show.
enum class FaultKind {
    None,
    CrashMidStream, ///< The next streams end without their last event.
    Hang,           ///< Requests are taken and run but never answered.
    Blackhole,      ///< Open streams go silent for good; new ones work.
    Refuse,         ///< New work is refused with NotRun.
    Slow,           ///< Plain calls take longer.
    LoseAnswer,     ///< Plain calls run, then the connection is closed without an answer.
    Leave,          ///< The backend server is being withdrawn.
};

std::optional<FaultKind> parseFaultKind(std::string_view text);

/// The fault that is switched on, for all or for a number of requests.
class FaultSwitch
{
public:
    void set(FaultKind kind, std::uint32_t count) noexcept
    {
        m_kind = kind;
        m_left = count;
    }

    /// True when @p kind is on; uses up one of its requests.
    bool take(FaultKind kind) noexcept;

private:
    FaultKind m_kind = FaultKind::None;
    std::uint32_t m_left = 0;
};

} // namespace gentianramp
