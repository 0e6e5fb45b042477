#include <gentianramp/idempotency/claim.hpp>

namespace gentianramp {

std::string_view toString(ClaimState state)
{
    switch (state) {
    case ClaimState::Claimed:
        return "Claimed";
    case ClaimState::Released:
        return "Released";
    case ClaimState::MayHaveRun:
        return "MayHaveRun";
    case ClaimState::Complete:
        return "Complete";
    }
    return "Unknown";
}

std::string_view toString(ClaimStatus status)
{
    switch (status) {
    case ClaimStatus::Granted:
        return "Granted";
    case ClaimStatus::AlreadyComplete:
        return "AlreadyComplete";
    case ClaimStatus::InProgress:
        return "InProgress";
    case ClaimStatus::MayHaveRun:
        return "MayHaveRun";
    case ClaimStatus::Conflict:
        return "Conflict";
    case ClaimStatus::Unavailable:
        return "Unavailable";
    case ClaimStatus::Overloaded:
        return "Overloaded";
    }
    return "Unknown";
}

} // namespace gentianramp
