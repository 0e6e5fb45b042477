#include <gentianramp/relay/retry_allowance.hpp>

#include <deque>
#include <vector>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

TimePoint at(int ms)
{
    return TimePoint(std::chrono::seconds(500) + std::chrono::milliseconds(ms));
}

} // namespace

Test(retry_allowance, repeatsOfAllInstancesStayWithinTheBoundsInEveryWindow)
{
    constexpr int instances = 9;
    std::vector<RetryAllowance> shares(
        instances, RetryAllowance({.ratio = 0.2, .slack = 58, .window = std::chrono::seconds(10)}));
    std::deque<std::pair<int, int>> perStep; // Requests and repeats.
    int requests = 0;
    int repeats = 0;
    for (int step = 0; step < 600; ++step) {
        int newRequests = 0;
        int newRepeats = 0;
        for (RetryAllowance &share : shares) {
            // A burst, a pause, then steady load; every instance takes all repeats that it may.
            const int load = step < 50 ? 4 : step < 200 ? 0 : 1;
            for (int count = 0; count < load; ++count) {
                share.noteRequest(at(step * 100));
                ++newRequests;
            }
            for (int count = 0; count < 10 && share.take(instances, at(step * 100)); ++count)
                ++newRepeats;
        }
        requests += newRequests;
        repeats += newRepeats;
        perStep.emplace_back(newRequests, newRepeats);
        if (perStep.size() > 100) {
            requests -= perStep.front().first;
            repeats -= perStep.front().second;
            perStep.pop_front();
        }
        cr_assert_leq(repeats, 0.2 * requests + 58, "%d repeats, %d requests at step %d", repeats,
                      requests, step);
    }
}

Test(retry_allowance, anInstanceWithoutRequestsHasItsShareOfTheSlack)
{
    RetryAllowance alone({.ratio = 0.2, .slack = 10, .window = std::chrono::seconds(10)});
    cr_assert(alone.take(1, at(0)));
    RetryAllowance oneOfMany({.ratio = 0.2, .slack = 10, .window = std::chrono::seconds(10)});
    cr_assert_not(oneOfMany.take(100, at(0)));
}
