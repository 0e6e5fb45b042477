#include <gentianramp/http/memory_budget.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};

ReadingUse use(std::uint64_t number, std::size_t bytes, std::size_t recentBytes, Duration at)
{
    return {number, bytes, recentBytes, Start + at};
}

std::vector<std::uint64_t> numbers(std::initializer_list<std::uint64_t> list)
{
    return list;
}

} // namespace

Test(MemoryBudget, StalledRequestsGiveUpTheirRoomBeforeSlowOnes)
{
    const std::vector<ReadingUse> reading{use(1, 100, 100, 5s), use(2, 100, 0, 1s),
                                          use(3, 100, 20, 5s), use(4, 100, 0, 0s)};
    cr_assert(leasesToRevoke(reading, RoomFor::ReadingRequest, 90) == numbers({4}));
    cr_assert(leasesToRevoke(reading, RoomFor::ReadingRequest, 250) == numbers({4, 2, 3}));
    cr_assert(leasesToRevoke(reading, RoomFor::ReadingRequest, 301).empty());
}

// Requests that arrive together would otherwise take each other's room, and none would get whole.
Test(MemoryBudget, ARequestTakesNoRoomFromOnesThatProceed)
{
    const std::vector<ReadingUse> reading{use(1, 100, 100, 5s), use(2, 100, 60, 5s)};
    cr_assert(leasesToRevoke(reading, RoomFor::ReadingRequest, 10).empty());
}

Test(MemoryBudget, RequestsThatWereReadTakeRoomFromAllThatAreBeingRead)
{
    const std::vector<ReadingUse> reading{use(1, 100, 100, 5s), use(2, 100, 60, 5s)};
    cr_assert(leasesToRevoke(reading, RoomFor::WholeRequest, 150) == numbers({2, 1}));
    cr_assert(leasesToRevoke(reading, RoomFor::WholeRequest, 201).empty());
}

Test(MemoryBudget, ALeaseGetsRoomWhateverTheBoundWhileItIsAlone)
{
    MemoryBudget budget(100);
    const auto alone = budget.answerLease();
    cr_assert(alone->grow(60, Start));
    cr_assert(alone->grow(60, Start));
    const auto second = budget.answerLease();
    cr_assert_not(second->grow(1, Start));
    cr_assert_eq(budget.heldBytes(), 120U);
}

Test(MemoryBudget, RoomComesBackWithTheLease)
{
    MemoryBudget budget(100);
    const auto stays = budget.answerLease();
    cr_assert(stays->grow(50, Start));
    for (int round = 0; round < 3; ++round)
        cr_assert(budget.answerLease()->grow(50, Start));
    cr_assert_eq(budget.heldBytes(), 50U);
}

// A crowd of bodies that stopped just short filled any bound and stayed.
Test(MemoryBudget, ACrowdThatStoppedGivesWayToARequestThatArrives)
{
    MemoryBudget budget(1000);
    int revoked = 0;
    std::vector<std::shared_ptr<MemoryLease>> crowd;
    for (int count = 0; count < 10; ++count) {
        crowd.push_back(budget.requestLease([&] { ++revoked; }));
        cr_assert(crowd.back()->grow(100, Start));
    }
    const auto early = budget.requestLease([] {});
    cr_assert_not(early->grow(100, Start + 100ms), "all of the crowd still proceed");
    const auto late = budget.requestLease([] {});
    for (int step = 0; step < 4; ++step)
        cr_assert(late->grow(100, Start + 3s + step * 100ms));
    cr_assert_eq(revoked, 4);
    cr_assert_not(crowd.front()->grow(1, Start + 3s));
    cr_assert_not(crowd.front()->keep());
    cr_assert_eq(budget.heldBytes(), 1000U);
}

// A phone on a bad line sends steadily, but not fast.
Test(MemoryBudget, ASlowSteadyRequestOutlastsACrowdThatStops)
{
    MemoryBudget budget(10'000);
    bool revoked = false;
    const auto slow = budget.requestLease([&] { revoked = true; });
    std::vector<std::shared_ptr<MemoryLease>> crowd;
    int grown = 0;
    for (int tenth = 0; grown < 40; ++tenth) {
        cr_assert_lt(tenth, 100);
        const TimePoint now = Start + tenth * 100ms;
        grown += slow->grow(50, now) ? 1 : 0;
        crowd.push_back(budget.requestLease([] {}));
        crowd.back()->grow(400, now);
    }
    cr_assert_not(revoked);
    cr_assert(slow->keep());
    cr_assert_leq(budget.heldBytes(), 10'000U);
}

Test(MemoryBudget, LeasesThatAreKeptAreNotRevoked)
{
    MemoryBudget budget(100);
    bool revoked = false;
    const auto kept = budget.requestLease([&] { revoked = true; });
    cr_assert(kept->grow(80, Start));
    cr_assert(kept->keep());
    const auto oldest = budget.answerLease();
    cr_assert(oldest->grow(20, Start));
    const auto answer = budget.answerLease();
    cr_assert_not(answer->grow(80, Start + 5s));
    cr_assert_not(revoked);
    cr_assert_eq(kept->bytes(), 80U);
}

// Requests that had been read filled the bound and waited for answers that got no room.
Test(MemoryBudget, AnswersGetRoomBesideRequestsThatFillTheBound)
{
    MemoryBudget budget(1000);
    std::vector<std::shared_ptr<MemoryLease>> requests;
    for (int count = 0; count < 10; ++count) {
        requests.push_back(budget.requestLease([] {}));
        cr_assert(requests.back()->grow(100, Start));
        cr_assert(requests.back()->keep());
    }
    const auto oldest = budget.answerLease();
    const auto second = budget.answerLease();
    const auto third = budget.answerLease();
    cr_assert(oldest->grow(100, Start));
    cr_assert(second->grow(150, Start));
    cr_assert_not(third->grow(1, Start), "answers hold their share beyond the bound");
    cr_assert_not(budget.requestLease([] {})->grow(1, Start));
}

// Two answers without a stated length waited for each other until one of them was over.
Test(MemoryBudget, TheOldestAnswerGetsRoomWhateverTheBound)
{
    MemoryBudget budget(100);
    auto oldest = budget.answerLease();
    const auto second = budget.answerLease();
    cr_assert(oldest->grow(50, Start));
    cr_assert(second->grow(50, Start));
    cr_assert_not(second->grow(30, Start));
    for (int step = 0; step < 5; ++step)
        cr_assert(oldest->grow(30, Start));
    cr_assert_not(second->grow(30, Start));
    oldest.reset();
    cr_assert(second->grow(300, Start));
    cr_assert_eq(budget.heldBytes(), 350U);
}
