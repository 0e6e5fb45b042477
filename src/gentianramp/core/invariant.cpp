#include <gentianramp/core/invariant.hpp>

#include <atomic>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/log.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace gentianramp {

namespace {

/// An invariant that stays broken is logged once in this time.
constexpr Duration LogInterval = std::chrono::seconds(1);

/// When an invariant was last logged as broken.
struct LoggedInvariant
{
    std::optional<TimePoint> at;
    std::uint64_t unlogged = 0; ///< How often it was found broken since.
};

std::atomic<std::uint64_t> brokenCount{0};
std::mutex hookMutex;
InvariantHook currentHook;
std::mutex logMutex;
std::map<std::string, LoggedInvariant, std::less<>> loggedInvariants;

InvariantHook copyOfHook()
{
    const std::lock_guard lock(hookMutex);
    return currentHook;
}

void logBroken(std::string_view name, std::string_view detail)
{
    const TimePoint now = RuntimeClock::now();
    std::uint64_t unlogged = 0;
    {
        const std::lock_guard lock(logMutex);
        LoggedInvariant &logged = loggedInvariants[std::string(name)];
        if (logged.at && now - *logged.at < LogInterval) {
            ++logged.unlogged;
            return;
        }
        unlogged = std::exchange(logged, {.at = now}).unlogged;
    }
    logError("invariant_broken", {{"name", name}, {"detail", detail}, {"unlogged", unlogged}});
}

} // namespace

void setInvariantHook(InvariantHook hook)
{
    const std::lock_guard lock(hookMutex);
    currentHook = std::move(hook);
}

bool checkInvariant(bool holds, std::string_view name, std::string_view detail)
{
    if (holds)
        return true;
    brokenCount.fetch_add(1, std::memory_order_relaxed);
    logBroken(name, detail);
    if (const InvariantHook hook = copyOfHook())
        hook(name, detail);
    return false;
}

std::uint64_t brokenInvariantCount()
{
    return brokenCount.load(std::memory_order_relaxed);
}

} // namespace gentianramp
