#include <atomic>
#include <gentianramp/core/invariant.hpp>
#include <gentianramp/routing/router.hpp>
#include <random>
#include <rapidcheck.h>
#include <thread>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

const ServiceId TestService("desk");
const DataCentreId Site("hall");
const TimePoint Start{std::chrono::seconds(1000)};

DeclaredConfiguration configurationWith(std::uint32_t backends, std::uint32_t slots)
{
    DeclaredConfiguration configuration;
    configuration.sites = {Site};
    configuration.priorityClasses = {{"bay", 0, 0.25}, {"desk", 1, 0}};
    configuration.models = {{ModelId("m"), "1", {}, 0}};
    configuration.services = {{.id = TestService, .model = ModelId("m"), .queueLimit = 8}};
    for (std::uint32_t i = 0; i < backends; ++i)
        configuration.backends.push_back({.id = BackendId("engine-" + std::to_string(i)),
                                          .site = Site,
                                          .service = TestService,
                                          .host = "127.0.0.1",
                                          .port = 9000,
                                          .slots = slots});
    return configuration;
}

std::unique_ptr<Router> routerWith(const DeclaredConfiguration &configuration)
{
    auto router = std::make_unique<Router>(
        RouterOptions{.instance = InstanceId("entry"), .site = Site, .seed = 5});
    router->configure(configuration, Start);
    router->publishFleet(declaredFleet(configuration, Site), Start);
    return router;
}

RequestAttributes attributesOf(std::uint32_t prompt, std::uint32_t priority = 1)
{
    return {.service = TestService,
            .customer = CustomerId("firm"),
            .priority = priority,
            .promptTokens = prompt,
            .maxOutputTokens = 50};
}

/// Submits a request; returns the decision if it was made at once.
std::optional<Decision> submitNow(Router &router, RequestAttributes attributes,
                                  TimePoint now = Start)
{
    std::optional<Decision> result;
    auto kept = std::make_shared<std::optional<Decision>>();
    router.submit(std::move(attributes), now,
                  [kept](Decision decision) { *kept = std::move(decision); });
    return *kept;
}

std::vector<std::optional<Decision>>
submitSome(Router &router, int count, const RequestAttributes &attributes, TimePoint now = Start)
{
    std::vector<std::optional<Decision>> decisions(static_cast<std::size_t>(count));
    for (std::optional<Decision> &decision : decisions)
        decision = submitNow(router, attributes, now);
    return decisions;
}

const Placement &placementOf(const std::optional<Decision> &decision)
{
    cr_assert(decision && std::holds_alternative<Placement>(*decision));
    return std::get<Placement>(*decision);
}

RefusalReason reasonOf(const std::optional<Decision> &decision)
{
    cr_assert(decision && std::holds_alternative<Refusal>(*decision));
    return std::get<Refusal>(*decision).reason;
}

} // namespace

Test(Router, SpreadsRequestsAndReleasesThemAtTheirEnd)
{
    auto router = routerWith(configurationWith(2, 4));
    const auto decisions = submitSome(*router, 4, attributesOf(100));
    cr_assert_eq(router->outstanding(BackendId("engine-0")), 2);
    cr_assert_eq(router->outstanding(BackendId("engine-1")), 2);
    for (const auto &decision : decisions)
        router->finished(placementOf(decision).handle, 50, Start);
    cr_assert_eq(router->outstanding(BackendId("engine-0")), 0);
}

Test(Router, DroppedHandleReleasesOutstandingWork)
{
    auto router = routerWith(configurationWith(1, 4));
    std::optional<Decision> decision = submitNow(*router, attributesOf(100));
    cr_assert_eq(router->outstanding(BackendId("engine-0")), 1);
    decision.reset();
    cr_assert_eq(router->outstanding(BackendId("engine-0")), 0);
}

Test(Router, UrgentClassUsesTheReservedSlots)
{
    auto router = routerWith(configurationWith(1, 4));
    const auto decisions = submitSome(*router, 4, attributesOf(10));
    cr_assert_eq(router->outstanding(BackendId("engine-0")), 3);
    cr_assert_eq(router->waiting(), 1);
    // Submitted after the waiting request, dispatched before it.
    const auto urgent = submitNow(*router, attributesOf(10, 0));
    placementOf(urgent);
    cr_assert_eq(router->outstanding(BackendId("engine-0")), 4);
}

Test(Router, FullQueueRefusesTheLeastUrgentRequest)
{
    auto router = routerWith(configurationWith(1, 1));
    const auto held = submitNow(*router, attributesOf(10));
    std::vector<std::shared_ptr<std::optional<Decision>>> waiting;
    for (int i = 0; i < 8; ++i) {
        waiting.push_back(std::make_shared<std::optional<Decision>>());
        router->submit(attributesOf(10), Start,
                       [kept = waiting.back()](Decision decision) { *kept = std::move(decision); });
    }
    cr_assert_eq(router->waiting(), 8);
    cr_assert_eq(reasonOf(submitNow(*router, attributesOf(10))), RefusalReason::QueueFull);
    submitNow(*router, attributesOf(10, 0));
    cr_assert_eq(reasonOf(*waiting.back()), RefusalReason::QueueFull);
    cr_assert_eq(router->waiting(), 8);
}

Test(Router, WithdrawnRequestIsNotDecided)
{
    auto router = routerWith(configurationWith(1, 1));
    const auto held = submitNow(*router, attributesOf(10));
    bool decided = false;
    const WaitNumber wait
        = router->submit(attributesOf(10), Start, [&decided](const Decision &) { decided = true; });
    cr_assert_neq(wait, 0);
    cr_assert(router->withdraw(wait));
    cr_assert_not(router->withdraw(wait));
    router->finished(placementOf(held).handle, 50, Start);
    cr_assert_not(decided);
}

Test(Router, RequestThatCannotMeetItsDeadlineIsRefusedAtOnce)
{
    auto router = routerWith(configurationWith(1, 4));
    RequestAttributes attributes = attributesOf(80000);
    attributes.deadline = Start + std::chrono::seconds(2);
    cr_assert_eq(reasonOf(submitNow(*router, attributes)), RefusalReason::DeadlineUnreachable);
}

Test(Router, WaitingRequestIsRefusedOnceItIsTooLate)
{
    auto router = routerWith(configurationWith(1, 1));
    const auto held = submitNow(*router, attributesOf(10));
    RequestAttributes attributes = attributesOf(10);
    attributes.deadline = Start + std::chrono::seconds(5);
    auto kept = std::make_shared<std::optional<Decision>>();
    router->submit(attributes, Start, [kept](Decision decision) { *kept = std::move(decision); });
    cr_assert_not(kept->has_value());
    router->tick(Start + std::chrono::seconds(5));
    cr_assert_eq(reasonOf(*kept), RefusalReason::DeadlineUnreachable);
}

Test(Router, LeavingBackendServerGetsNoNewRequests)
{
    auto router = routerWith(configurationWith(2, 4));
    router->markPhase(BackendId("engine-0"), BackendPhase::Leaving, Start);
    // A fleet table from before the notice does not put it back into service.
    router->publishFleet(declaredFleet(configurationWith(2, 4), Site), Start);
    const auto decisions = submitSome(*router, 4, attributesOf(10));
    cr_assert_eq(router->outstanding(BackendId("engine-0")), 0);
}

Test(Router, BreakerOpensAfterFailuresAndAReportClosesItAfterTheBackoff)
{
    auto router = routerWith(configurationWith(2, 8));
    const BackendId broken("engine-0");
    std::uint32_t failures = 0;
    while (failures < 3) {
        const auto decision = submitNow(*router, attributesOf(10));
        const Placement &placement = placementOf(decision);
        if (placement.backend.id == broken) {
            router->failed(placement.handle, AttemptFailure::Broken, Start);
            ++failures;
        } else {
            router->finished(placement.handle, 50, Start);
        }
    }
    RequestAttributes nonIdempotent = attributesOf(10);
    nonIdempotent.idempotent = false;
    for (int i = 0; i < 8; ++i)
        cr_assert_neq(placementOf(submitNow(*router, nonIdempotent)).backend.id, broken);
    const TimePoint later = Start + std::chrono::seconds(3);
    router->applyLoad(broken, {.takenAt = later}, later);
    const auto held = submitSome(*router, 8, nonIdempotent, later);
    cr_assert_gt(router->outstanding(broken), 0);
}

Test(Router, RetriesDrawOnABudget)
{
    auto router = routerWith(configurationWith(1, 100));
    RequestAttributes retry = attributesOf(10);
    retry.attempt = Attempt(2);
    placementOf(submitNow(*router, retry));
    cr_assert_eq(reasonOf(submitNow(*router, retry)), RefusalReason::RetryBudget);
    for (int i = 0; i < 10; ++i)
        submitNow(*router, attributesOf(10));
    placementOf(submitNow(*router, retry));
}

Test(Router, RequestsGoToTheCacheHolderUntilThePrefixIsEvicted)
{
    auto router = routerWith(configurationWith(4, 4));
    RequestAttributes attributes = attributesOf(4000);
    attributes.prefixes = {{prefixHash("member-7"), 3900}};
    const auto first = submitNow(*router, attributes);
    const BackendId holder = placementOf(first).backend.id;
    router->finished(placementOf(first).handle, 50, Start);
    for (int i = 0; i < 5; ++i) {
        const auto next = submitNow(*router, attributes);
        cr_assert_eq(placementOf(next).backend.id, holder);
        cr_assert_eq(placementOf(next).expectedCachedTokens, 3900);
        router->finished(placementOf(next).handle, 50, Start);
    }
    router->applyCacheEvents(holder, {.events = {{1, false, prefixHash("member-7"), 3900}}}, Start);
    cr_assert_eq(placementOf(submitNow(*router, attributes)).expectedCachedTokens, 0);
}

Test(Router, ReportedWorkOfOtherInstancesDivertsRequests)
{
    auto router = routerWith(configurationWith(2, 16));
    const TimePoint later = Start + std::chrono::seconds(1);
    router->tick(Start);
    router->applyLoad(BackendId("engine-0"),
                      {.takenAt = Start, .running = 10, .promptTokens = 4000, .outputTokens = 4000},
                      later);
    const auto held = submitSome(*router, 4, attributesOf(100), later);
    cr_assert_eq(router->outstanding(BackendId("engine-1")), 4);
}

Test(Router, LongPromptsUseAPairAndShortPromptsOneEngine)
{
    DeclaredConfiguration configuration = configurationWith(2, 16);
    configuration.backends[0].role = EngineRole::Prefill;
    configuration.backends[1].role = EngineRole::Decode;
    auto router = routerWith(configuration);
    const auto longPrompt = submitNow(*router, attributesOf(8000));
    cr_assert(placementOf(longPrompt).prefillBackend.has_value());
    cr_assert_eq(placementOf(longPrompt).prefillBackend->id, BackendId("engine-0"));
    cr_assert_eq(placementOf(longPrompt).backend.id, BackendId("engine-1"));
    const auto shortPrompt = submitNow(*router, attributesOf(50));
    cr_assert_not(placementOf(shortPrompt).prefillBackend.has_value());
}

Test(Router, ShutDownRefusesWaitingAndNewRequests)
{
    auto router = routerWith(configurationWith(1, 1));
    const auto held = submitNow(*router, attributesOf(10));
    auto kept = std::make_shared<std::optional<Decision>>();
    router->submit(attributesOf(10), Start,
                   [kept](Decision decision) { *kept = std::move(decision); });
    router->shutDown(Start);
    cr_assert_eq(reasonOf(*kept), RefusalReason::ShuttingDown);
    cr_assert_eq(reasonOf(submitNow(*router, attributesOf(10))), RefusalReason::ShuttingDown);
    cr_assert_eq(router->outstanding(BackendId("engine-0")), 1);
}

Test(Router, UnknownServiceAndVersionAreRefused)
{
    auto router = routerWith(configurationWith(1, 1));
    RequestAttributes attributes = attributesOf(10);
    attributes.service = ServiceId("none");
    cr_assert_eq(reasonOf(submitNow(*router, attributes)), RefusalReason::UnknownService);
    attributes = attributesOf(10);
    attributes.version = "99";
    cr_assert_eq(reasonOf(submitNow(*router, attributes)), RefusalReason::UnknownModel);
}

namespace {

struct RunningRequest
{
    DispatchHandle handle;
    TimePoint end{};
};

/// Offers more load than the engines can serve, in both classes. Every request must be decided and
/// the less urgent class must be served too.
bool noClassStarves(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    DeclaredConfiguration configuration = configurationWith(1 + random() % 3, 2 + random() % 4);
    configuration.priorityClasses[0].reservedShare = 0;
    configuration.services[0].queueLimit = 1000;
    auto router = routerWith(configuration);
    auto running = std::make_shared<std::vector<RunningRequest>>();
    auto decided = std::make_shared<std::array<int, 2>>();
    TimePoint now = Start;
    int submitted = 0;
    for (int step = 0; step < 400; ++step) {
        now += std::chrono::milliseconds(50);
        for (int call = 0; call < 2; ++call) {
            const std::uint32_t priority = random() % 8 == 0 ? 1 : 0;
            ++submitted;
            const TimePoint end = now + std::chrono::milliseconds(100 + random() % 400);
            router->submit(attributesOf(10, priority), now, [=](Decision decision) {
                ++(*decided)[priority];
                if (auto *placement = std::get_if<Placement>(&decision))
                    running->push_back({placement->handle, end});
            });
        }
        std::vector<RunningRequest> ended;
        for (auto it = running->begin(); it != running->end();) {
            if (it->end > now) {
                ++it;
                continue;
            }
            ended.push_back(*it);
            it = running->erase(it);
        }
        for (const RunningRequest &request : ended)
            router->finished(request.handle, 50, now);
        router->tick(now);
    }
    const bool lessUrgentServed = (*decided)[1] > 0;
    router->shutDown(now);
    return lessUrgentServed && (*decided)[0] + (*decided)[1] == submitted && router->waiting() == 0;
}

void submitUntilStopped(Router &router, std::atomic<bool> &stop, std::atomic<int> &undecided)
{
    std::mt19937_64 random(std::hash<std::thread::id>{}(std::this_thread::get_id()));
    while (!stop.load()) {
        RequestAttributes attributes = attributesOf(static_cast<std::uint32_t>(random() % 500));
        attributes.prefixes = {{random() % 64 + 1, 100}};
        ++undecided;
        router.submit(attributes, Start, [&router, &undecided](Decision decision) {
            --undecided;
            if (auto *placement = std::get_if<Placement>(&decision))
                router.finished(placement->handle, 5, Start);
        });
    }
}

} // namespace

Test(Router, NoClassStarvesAndEveryRequestIsDecidedOnce)
{
    cr_assert(
        rc::check("no class starves", [](std::uint64_t seed) { RC_ASSERT(noClassStarves(seed)); }));
}

Test(Router, RoutingTableMayBeReplacedUnderLoad)
{
    const DeclaredConfiguration configuration = configurationWith(4, 64);
    auto router = routerWith(configuration);
    std::atomic<bool> stop{false};
    std::atomic<int> undecided{0};
    std::vector<std::thread> threads;
    threads.reserve(3);
    for (int i = 0; i < 3; ++i)
        threads.emplace_back(submitUntilStopped, std::ref(*router), std::ref(stop),
                             std::ref(undecided));
    for (int i = 0; i < 300; ++i) {
        router->publishFleet(declaredFleet(configuration, Site), Start);
        router->tick(Start);
    }
    stop = true;
    for (std::thread &thread : threads)
        thread.join();
    router->tick(Start);
    cr_assert_eq(undecided.load(), 0);
    for (const BackendDeclaration &backend : configuration.backends)
        cr_assert_eq(router->outstanding(backend.id), 0);
    cr_assert_eq(brokenInvariantCount(), 0);
}
