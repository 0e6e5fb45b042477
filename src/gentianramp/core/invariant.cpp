#include <gentianramp/core/invariant.hpp>

#include <atomic>
#include <gentianramp/core/log.hpp>
#include <mutex>

namespace gentianramp {

namespace {

std::atomic<std::uint64_t> brokenCount{0};
std::mutex hookMutex;
InvariantHook currentHook;

InvariantHook copyOfHook()
{
    const std::lock_guard lock(hookMutex);
    return currentHook;
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
    logError("invariant_broken", {{"name", name}, {"detail", detail}});
    if (const InvariantHook hook = copyOfHook())
        hook(name, detail);
    return false;
}

std::uint64_t brokenInvariantCount()
{
    return brokenCount.load(std::memory_order_relaxed);
}

} // namespace gentianramp
