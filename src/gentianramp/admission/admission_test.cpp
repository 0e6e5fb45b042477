#include <gentianramp/admission/waiting_requests.hpp>

#include <algorithm>
#include <vector>

#include <criterion/criterion.h>

using namespace gentianramp;
using std::chrono::milliseconds;

namespace {

// Of the simulation of allowances.
constexpr double Places = 1000;
constexpr double WorkS = 0.8;
constexpr int StepMs = 5;
constexpr int ReportAgeSteps = 40; // 0.2 s

TimePoint at(int ms)
{
    return TimePoint(std::chrono::seconds(1000) + milliseconds(ms));
}

AdmissionRequest requestWith(std::uint64_t identity, std::uint32_t priority = 1)
{
    AdmissionRequest request;
    request.priority = priority;
    request.kind = "chat";
    request.identity = identity;
    request.work = milliseconds(500);
    request.firstEventTime = milliseconds(100);
    request.onTimeUntil = at(1000);
    request.deadline = at(3000);
    return request;
}

AdmissionState fullState()
{
    AdmissionState state;
    state.places = 100;
    state.taken = 120;
    state.ownPlaces = 2;
    state.serverWait = milliseconds(200);
    return state;
}

AdmissionConditions fullConditions()
{
    AdmissionConditions conditions;
    conditions.room = {100, 150, 0};
    conditions.instances = 50;
    conditions.serverWait = milliseconds(1500);
    return conditions;
}

} // namespace

// Guards against refusals and waits while servers are idle.
Test(admission_decision, placesAtOnceWhileUnderHalfIsTaken)
{
    AdmissionState state = fullState();
    state.taken = 49;
    state.serverWait = std::chrono::hours(1);
    const AdmissionDecision decision = decide(state, requestWith(1), at(0));
    cr_assert_eq(decision, (AdmissionDecision{AdmissionAction::Place, AdmissionReason::Room}));
    state.waiting = 20;
    state.workAhead = std::chrono::hours(1);
    cr_assert_eq(decide(state, requestWith(1), at(0)).action, AdmissionAction::Wait);
    const AdmissionDecision hopeless = decide(state, requestWith(1), at(2950));
    cr_assert_eq(hopeless.action, AdmissionAction::Refuse);
    cr_assert_eq(hopeless.reason, AdmissionReason::DeadlineTooNear);
}

// Guards against a queue at a server in which a request becomes late.
Test(admission_decision, waitsWhenTheServersQueueWouldMakeItLate)
{
    AdmissionState state = fullState();
    state.mayQueue = true;
    cr_assert_eq(decide(state, requestWith(1), at(0)).reason, AdmissionReason::ShortWait);
    state.serverWait = milliseconds(901);
    const AdmissionDecision decision = decide(state, requestWith(1), at(0));
    cr_assert_eq(decision.action, AdmissionAction::Wait);
    cr_assert_eq(decision.waitUntil, at(2900));
    // What is late anyway may use the time until its deadline.
    cr_assert_eq(decide(state, requestWith(1), at(1200)).action, AdmissionAction::Place);
    // Without allowance, other instances' requests may fill the same queue.
    state.mayQueue = false;
    cr_assert_eq(decide(state, requestWith(1), at(1200)).action, AdmissionAction::Wait);
}

// Guards against callers that are held and refused at their deadline.
Test(admission_decision, refusesAtOnceWhatTheOthersLeaveNoRoomFor)
{
    AdmissionState state = fullState();
    state.waiting = 20;
    state.workAhead = milliseconds(5800);
    cr_assert_eq(decide(state, requestWith(1), at(0)).action, AdmissionAction::Wait);
    state.workAhead = milliseconds(5802);
    const AdmissionDecision decision = decide(state, requestWith(1), at(0));
    cr_assert_eq(decision.action, AdmissionAction::Refuse);
    cr_assert_eq(decision.reason, AdmissionReason::NoRoomBeforeDeadline);
}

// Guards against refused callers that return all at the same moment, or later than they can wait.
Test(admission_decision, spreadsTheTimesToReturn)
{
    AdmissionState state = fullState();
    state.waiting = 20;
    state.workAhead = milliseconds(6000);
    state.random = 0;
    cr_assert_eq(decide(state, requestWith(1), at(0)).returnAfter, milliseconds(500));
    state.random = 1;
    cr_assert_eq(decide(state, requestWith(1), at(0)).returnAfter, milliseconds(1000));
}

Test(waiting_requests, urgentOnesGoFirstAndLateOnesLast)
{
    WaitingRequests waiting;
    const AdmissionConditions conditions = fullConditions();
    AdmissionRequest served = requestWith(9);
    // A kind that was served lately is not owed a place.
    AdmissionConditions idle = conditions;
    idle.room.taken = 0;
    for (std::uint64_t identity = 100; identity < 200; ++identity)
        cr_assert_eq(waiting.arrive(identity, requestWith(identity), idle, at(0)).action,
                     AdmissionAction::Place);
    AdmissionRequest late = requestWith(1, 0);
    late.onTimeUntil = at(50);
    cr_assert_eq(waiting.arrive(1, late, conditions, at(0)).action, AdmissionAction::Wait);
    cr_assert_eq(waiting.arrive(2, requestWith(2, 2), conditions, at(0)).action,
                 AdmissionAction::Wait);
    cr_assert_eq(waiting.arrive(3, requestWith(3, 1), conditions, at(0)).action,
                 AdmissionAction::Wait);
    AdmissionRequest sooner = requestWith(4, 1);
    sooner.onTimeUntil = at(900);
    cr_assert_eq(waiting.arrive(4, sooner, conditions, at(0)).action, AdmissionAction::Wait);
    cr_assert_eq(waiting.first(4), (std::vector<WaitNumber>{4, 3, 2, 1}));
    waiting.drop(4);
    cr_assert_eq(waiting.first(4), (std::vector<WaitNumber>{3, 2, 1}));
}

// Guards against a rare kind that is never served because all others go before it.
Test(waiting_requests, aKindThatWasNeverServedIsOwedAPlace)
{
    WaitingRequests waiting;
    AdmissionConditions idle = fullConditions();
    idle.room.taken = 0;
    for (std::uint64_t identity = 100; identity < 200; ++identity)
        waiting.arrive(identity, requestWith(identity, 0), idle, at(0));
    waiting.arrive(1, requestWith(1, 0), fullConditions(), at(0));
    AdmissionRequest rare = requestWith(2, 3);
    rare.kind = "rare";
    for (std::uint64_t identity = 2; identity <= 4; ++identity) {
        rare.identity = identity;
        waiting.arrive(identity, rare, fullConditions(), at(0));
    }
    cr_assert_eq(waiting.first(1), (std::vector<WaitNumber>{4}));
}

// Guards against refusals by old reports, which requests far behind keep.
Test(waiting_requests, requestsBehindOthersAreDecidedOnByTheNewestReports)
{
    WaitingRequests waiting;
    AdmissionConditions conditions = fullConditions();
    cr_assert_eq(waiting.arrive(1, requestWith(1, 0), conditions, at(0)).action,
                 AdmissionAction::Wait);
    AdmissionRequest behind = requestWith(2, 1);
    behind.onTimeUntil = behind.deadline;
    cr_assert_eq(waiting.arrive(2, behind, conditions, at(0)).action, AdmissionAction::Wait);
    AdmissionConditions old = conditions;
    old.mayPlace = false;
    // The other one takes the only place of this instance until the deadline by the old report.
    old.room.places = 5;
    conditions.room = {100, 49, 0};
    AdmissionRequest first = requestWith(3, 0);
    first.onTimeUntil = at(500);
    cr_assert_eq(waiting.arrive(3, first, conditions, at(10)).action, AdmissionAction::Place);
    cr_assert_eq(waiting.review(2, old, at(10)).action, AdmissionAction::Wait);
}

// Guards against a request that goes before the others because it is sent anew at once.
Test(waiting_requests, earlyReturnsGoAfterTheOthersOfTheirPriority)
{
    WaitingRequests waiting;
    AdmissionConditions conditions = fullConditions();
    AdmissionConditions idle = conditions;
    idle.room.taken = 0;
    for (std::uint64_t identity = 100; identity < 200; ++identity)
        waiting.arrive(identity, requestWith(identity), idle, at(0));
    AdmissionConditions hopeless = conditions;
    hopeless.serverWait = std::chrono::seconds(10);
    AdmissionRequest sooner = requestWith(1);
    sooner.onTimeUntil = at(900);
    cr_assert_eq(waiting.arrive(1, sooner, hopeless, at(0)).action, AdmissionAction::Refuse);
    waiting.arrive(2, requestWith(2), conditions, at(5));
    waiting.arrive(3, sooner, conditions, at(10));
    cr_assert_eq(waiting.first(2), (std::vector<WaitNumber>{2, 3}));
}

// Guards against instances that together fill the servers' queues between two reports.
Test(queue_allowance, sendsOfAllInstancesStayBounded)
{
    for (const std::uint32_t instances : {75U, 150U, 300U}) {
        std::vector<QueueAllowance> allowances;
        for (std::uint32_t index = 0; index < instances; ++index)
            allowances.emplace_back(static_cast<double>(index) / instances);
        std::vector<double> taken(1, 0);
        double most = 0;
        double least = Places;
        for (int step = 0; step < 4000; ++step) {
            const double reported
                = taken[static_cast<std::size_t>(std::max(step - ReportAgeSteps, 0))];
            const ReportedRoom room{Places, reported, std::min(reported, Places) / WorkS};
            double next = taken.back();
            next -= std::min(next, Places) / WorkS * StepMs / 1000;
            for (QueueAllowance &allowance : allowances) {
                allowance.update(room, instances, at(step * StepMs));
                for (; allowance.mayTake(); next += 1)
                    allowance.take();
            }
            taken.push_back(next);
            most = std::max(most, next);
            if (step > 1000)
                least = std::min(least, next);
        }
        cr_log_info("%u instances: %.0f to %.0f taken of %.0f", instances, least, most, Places);
        cr_expect_leq(most, Places + 1.5 * instances);
        cr_expect_geq(least, 0.95 * Places);
    }
}
