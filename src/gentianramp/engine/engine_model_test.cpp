#include <gentianramp/engine/engine_model.hpp>
#include <random>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration sinceStart)
{
    return TimePoint(1h + sinceStart);
}

EngineModelOptions steadyOptions()
{
    EngineModelOptions options;
    options.prefillTokensPerSecond = 1000;
    options.decodeTokensPerSecond = 100;
    options.streamTokensPerSecond = 50;
    options.cacheEventLoss = 0;
    return options;
}

EngineRequest requestOf(const std::string &id, std::uint32_t prompt, std::uint32_t output)
{
    EngineRequest request;
    request.id = RequestId(id);
    request.promptTokens = prompt;
    request.outputTokens = output;
    return request;
}

std::optional<EngineProgress> lastOf(const std::vector<EngineProgress> &progress,
                                     const std::string &id)
{
    std::optional<EngineProgress> last;
    for (const EngineProgress &entry : progress) {
        if (entry.id == RequestId(id))
            last = entry;
    }
    return last;
}

} // namespace

Test(EngineModel, FinishTimeIsPrefillPlusDecodeTime)
{
    EngineModel model(steadyOptions(), at(0s));
    cr_assert(model.submit(requestOf("a", 1000, 51), at(0s)));
    const auto progress = model.advance(at(10s));
    const auto last = lastOf(progress, "a");
    cr_assert(last && last->kind == EngineProgressKind::Finished);
    cr_assert(last->at == at(2s));
    cr_assert_eq(model.outstanding(), 0U);
}

Test(EngineModel, ResultIsIndependentOfAdvanceCalls)
{
    std::mt19937_64 random(7);
    EngineModel coarse(steadyOptions(), at(0s));
    EngineModel fine(steadyOptions(), at(0s));
    TimePoint now = at(0s);
    std::vector<EngineProgress> fineFinished;
    std::vector<EngineProgress> coarseFinished;
    const auto appendFinished
        = [](const std::vector<EngineProgress> &from, std::vector<EngineProgress> &to) {
              for (const EngineProgress &entry : from) {
                  if (entry.kind == EngineProgressKind::Finished)
                      to.push_back(entry);
              }
          };
    for (int number = 0; number < 40; ++number) {
        const auto request
            = requestOf("r" + std::to_string(number), 10 + random() % 500, 1 + random() % 100);
        appendFinished(coarse.advance(now), coarseFinished);
        coarse.submit(request, now);
        fine.submit(request, now);
        const TimePoint next = now + std::chrono::milliseconds(random() % 700);
        for (; now < next; now += 7ms)
            appendFinished(fine.advance(now), fineFinished);
        now = next;
    }
    appendFinished(fine.advance(now + 1h), fineFinished);
    appendFinished(coarse.advance(now + 1h), coarseFinished);
    cr_assert_eq(fineFinished.size(), 40U);
    cr_assert_eq(coarseFinished.size(), 40U);
    for (std::size_t index = 0; index < 40; ++index) {
        cr_assert(fineFinished[index].id == coarseFinished[index].id);
        const Duration apart = fineFinished[index].at - coarseFinished[index].at;
        cr_assert(apart < 1ms && apart > -1ms);
    }
}

Test(EngineModel, HigherPriorityPrefillsRunFirst)
{
    EngineModel model(steadyOptions(), at(0s));
    EngineRequest slow = requestOf("slow", 5000, 1);
    slow.priority = 5;
    EngineRequest urgent = requestOf("urgent", 100, 1);
    model.submit(slow, at(0s));
    model.submit(urgent, at(10ms));
    const auto progress = model.advance(at(1s));
    cr_assert(lastOf(progress, "urgent").has_value());
    cr_assert_not(lastOf(progress, "slow").has_value());
}

Test(EngineModel, CachedPrefixIsNotPrefilledAgain)
{
    EngineModel model(steadyOptions(), at(0s));
    EngineRequest first = requestOf("first", 1000, 1);
    first.prefixes = {{42, 900}};
    model.submit(first, at(0s));
    model.advance(at(2s));
    EngineRequest second = first;
    second.id = RequestId("second");
    model.submit(second, at(2s));
    const auto last = lastOf(model.advance(at(4s)), "second");
    cr_assert(last && last->at == at(2100ms));
    cr_assert_eq(model.cacheEvents(0, at(4s)).events.size(), 1U);
}

Test(EngineModel, ResumedAnswerContinuesAfterItsOffset)
{
    EngineModel model(steadyOptions(), at(0s));
    EngineRequest request = requestOf("a", 100, 20);
    request.resumeOffset = 15;
    model.submit(request, at(0s));
    const auto progress = model.advance(at(5s));
    cr_assert(!progress.empty() && progress.front().tokens == 16U);
    cr_assert_eq(lastOf(progress, "a")->tokens, 20U);
}

Test(EngineModel, RoleChangeAbortsRequestsAndTakesTime)
{
    EngineModel model(steadyOptions(), at(0s));
    model.submit(requestOf("a", 100, 1000), at(0s));
    model.setRole(EngineRole::Decode, at(1s));
    cr_assert(model.phase() == BackendPhase::Changing);
    cr_assert_not(model.submit(requestOf("b", 1, 1), at(2s)));
    cr_assert(lastOf(model.advance(at(3s)), "a")->kind == EngineProgressKind::Cut);
    model.advance(at(6s));
    cr_assert(model.phase() == BackendPhase::Serving);
    cr_assert(model.role() == EngineRole::Decode);
}

Test(EngineModel, LoadReportsLag)
{
    EngineModel model(steadyOptions(), at(0s));
    model.advance(at(0s));
    model.submit(requestOf("a", 5000, 1000), at(100ms));
    for (Duration time = 250ms; time <= 2s; time += 250ms)
        model.advance(at(time));
    cr_assert_eq(model.loadReport(at(1s)).running, 0U);
    cr_assert_eq(model.loadReport(at(2s)).running, 1U);
}
