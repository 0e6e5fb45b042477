#include "place.hpp"

#include "one_shot_result.hpp"

namespace gentianramp {

namespace {

PlacementResult toPlacementResult(Decision decision)
{
    if (Placement *placement = std::get_if<Placement>(&decision))
        return std::move(*placement);
    return std::get<Refusal>(decision);
}

} // namespace

boost::asio::awaitable<PlacementResult> place(Router &router, RequestAttributes shape,
                                              CallerWatch &watch, std::function<void()> onQueued)
{
    const auto result = std::make_shared<OneShotResult<PlacementResult>>();
    const WaitNumber wait
        = router.submit(std::move(shape), RuntimeClock::now(), [result](Decision decision) {
              result->complete(toPlacementResult(std::move(decision)));
          });
    if (wait != 0) {
        if (onQueued)
            onQueued();
        watch.onGone([&router, result, wait] {
            if (router.withdraw(wait))
                result->complete(CallerLeft{});
        });
    }
    PlacementResult placed = co_await result->wait();
    watch.clear();
    co_return placed;
}

} // namespace gentianramp
