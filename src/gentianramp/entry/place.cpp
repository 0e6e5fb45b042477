#include "place.hpp"

#include "one_shot.hpp"

namespace gentianramp {

namespace {

Placed toPlaced(Decision decision)
{
    if (Placement *placement = std::get_if<Placement>(&decision))
        return std::move(*placement);
    return std::get<Refusal>(decision);
}

} // namespace

boost::asio::awaitable<Placed> place(Router &router, RequestAttributes shape, CallerWatch &watch,
                                     std::function<void()> onQueued)
{
    const auto result = std::make_shared<OneShot<Placed>>();
    const WaitNumber wait
        = router.submit(std::move(shape), RuntimeClock::now(), [result](Decision decision) {
              result->complete(toPlaced(std::move(decision)));
          });
    if (wait != 0) {
        if (onQueued)
            onQueued();
        watch.onGone([&router, result, wait] {
            if (router.withdraw(wait))
                result->complete(CallerLeft{});
        });
    }
    Placed placed = co_await result->wait();
    watch.clear();
    co_return placed;
}

} // namespace gentianramp
