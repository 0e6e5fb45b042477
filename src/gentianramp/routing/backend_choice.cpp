#include "gentianramp/routing/backend_choice.hpp"

#include <algorithm>
#include <cmath>
#include <gentianramp/routing/role_speed.hpp>
#include <limits>

namespace gentianramp {
namespace {

constexpr double PrefillBacklogSeconds = 2.0; ///< Prompt tokens beyond it wait at the entry.
constexpr double TransferSeconds = 0.02;      ///< Export and import of a KV cache.
constexpr double RemoteSeconds = 0.05;        ///< Preference for the own data centre.
constexpr double OccupiedSlotSeconds = 0.001; ///< Tells apart backend servers without token work.
constexpr double FirstTokenWeight = 1.0;      ///< Cost of a second until the first token.
constexpr double FinishMargin = 1.8;          ///< Answers slow down as later requests join them.
constexpr double OthersAlike
    = 0.8; ///< Share of own unreported work assumed of each other instance.
constexpr double HopeForLess = 0.2; ///< Share by which an estimate may fall while waiting.
constexpr std::size_t DrawsPerChoice = 3;

/// What one backend server would make of the request.
struct Estimate
{
    double firstToken = 0; ///< Seconds until the first token.
    double finish = 0;     ///< Seconds until the last token.
    double cost = 0;       ///< Smaller is better.
    std::uint32_t cachedTokens = 0;
};

Duration fromSeconds(double value)
{
    return Duration(static_cast<Duration::rep>(value * 1e9));
}

bool hasModel(const BackendView &view, const RequestAttributes &shape)
{
    if (shape.version) {
        const bool loaded = std::ranges::any_of(view.models, [&shape](const LoadedModel &model) {
            return model.version == *shape.version;
        });
        if (!loaded)
            return false;
    }
    return shape.adapter.empty()
        || std::ranges::find(view.adapters, shape.adapter) != view.adapters.end();
}

bool inService(const Candidate &candidate, const RequestAttributes &shape, TimePoint now)
{
    return candidate.view.phase == BackendPhase::Serving
        && candidate.load->breaker().mayAllow(shape.idempotent, now);
}

bool isExcluded(const Candidate &candidate, const RequestAttributes &shape)
{
    return std::ranges::find(shape.excluded, candidate.view.id) != shape.excluded.end();
}

/// Whether it is worth waiting for the backend server.
bool mayReturn(const Candidate &candidate)
{
    return candidate.view.phase == BackendPhase::Serving
        || candidate.view.phase == BackendPhase::Changing;
}

std::uint32_t cachedAt(const Candidate &candidate, const ChoiceRequest &request)
{
    const auto holder
        = std::ranges::find(request.holders, candidate.load->number(), &CacheHolder::backend);
    return holder == request.holders.end() ? 0
                                           : std::min(holder->tokens, request.shape.promptTokens);
}

/// Whether the backend server may be given more. Other instances decide on the same report, and
/// are taken to have sent as much as this one since it was made.
bool hasRoom(const Candidate &candidate, const WorkAmount &work, const ChoiceOptions &options,
             TimePoint now)
{
    const BackendView &view = candidate.view;
    const UnreportedWork unreported = candidate.load->unreported(now);
    const double others = OthersAlike * options.otherInstances;
    const double open = std::max(1.0, std::floor(view.slots * (1 - options.reservedShare)));
    if (work.requests + others * unreported.requests >= open)
        return false;
    const double prompt = work.promptTokens + others * unreported.promptTokens;
    return prompt <= prefillRate(view, view.role) * PrefillBacklogSeconds;
}

double prefillSeconds(const BackendView &view, double tokens)
{
    const double rate = prefillRate(view, view.role);
    return rate > 0 ? tokens / rate : 0;
}

double decodeSeconds(const BackendView &view, double tokens)
{
    const double rate = decodeRate(view, view.role);
    return rate > 0 ? tokens / rate : 0;
}

/// Seconds that the engine needs for that much work; decoding goes on slowly during prefills.
double drainSeconds(const BackendView &view, double promptTokens, double outputTokens)
{
    const double prefill = prefillSeconds(view, promptTokens);
    const double overlapped = prefill * roleSpeed(view.role).decodeDuringPrefill;
    return prefill + std::max(0.0, decodeSeconds(view, outputTokens) - overlapped);
}

/// Seconds that an answer takes on an otherwise idle engine, from the first to the last token.
double idleAnswerSeconds(const BackendView &view, double outputTokens)
{
    const double alone
        = view.streamTokensPerSecond > 0 ? outputTokens / view.streamTokensPerSecond : 0;
    return std::max(alone, decodeSeconds(view, outputTokens));
}

/// The same beside the work that the engine has, by the speed that its streams had lately.
double answerSeconds(const Candidate &candidate, const WorkAmount &work, double outputTokens,
                     TimePoint now)
{
    const BackendView &view = candidate.view;
    const double shared = decodeRate(view, view.role) / (1 + work.requests);
    const double expected = std::min(view.streamTokensPerSecond, shared);
    const double rate = candidate.load->streamRate(expected, now);
    return rate > 0 ? outputTokens / rate : 0;
}

/// Growth of the square of the time an engine needs to drain: balances engines, and keeps work
/// from engines that are slow at it.
double addedCost(double drainBefore, double drainAfter)
{
    return drainAfter * drainAfter - drainBefore * drainBefore;
}

double fixedCost(const Candidate &candidate, const WorkAmount &work)
{
    const double occupied = work.requests / std::max(1U, candidate.view.slots);
    return (candidate.local ? 0 : RemoteSeconds) + OccupiedSlotSeconds * occupied;
}

/// The whole request on one engine.
Estimate estimateWhole(const Candidate &candidate, const WorkAmount &work,
                       const ChoiceRequest &request, TimePoint now)
{
    const BackendView &view = candidate.view;
    Estimate estimate;
    estimate.cachedTokens = cachedAt(candidate, request);
    const double prompt = work.promptTokens + request.shape.promptTokens - estimate.cachedTokens;
    estimate.firstToken = prefillSeconds(view, prompt);
    estimate.finish
        = estimate.firstToken + answerSeconds(candidate, work, request.output.mean, now);
    estimate.cost = FirstTokenWeight * estimate.firstToken + fixedCost(candidate, work)
        + addedCost(drainSeconds(view, work.promptTokens, work.outputTokens),
                    drainSeconds(view, prompt, work.outputTokens + request.output.mean));
    return estimate;
}

Estimate estimatePrefill(const Candidate &candidate, const WorkAmount &work,
                         const ChoiceRequest &request, TimePoint)
{
    Estimate estimate;
    estimate.cachedTokens = cachedAt(candidate, request);
    const double prompt = work.promptTokens + request.shape.promptTokens - estimate.cachedTokens;
    estimate.firstToken = prefillSeconds(candidate.view, prompt);
    estimate.cost = FirstTokenWeight * estimate.firstToken + fixedCost(candidate, work)
        + addedCost(drainSeconds(candidate.view, work.promptTokens, work.outputTokens),
                    drainSeconds(candidate.view, prompt, work.outputTokens));
    return estimate;
}

Estimate estimateDecode(const Candidate &candidate, const WorkAmount &work,
                        const ChoiceRequest &request, TimePoint now)
{
    Estimate estimate;
    estimate.finish = answerSeconds(candidate, work, request.output.mean, now);
    estimate.cost = fixedCost(candidate, work)
        + drainSeconds(candidate.view, work.promptTokens, work.outputTokens + request.output.mean);
    return estimate;
}

using Estimator
    = Estimate (*)(const Candidate &, const WorkAmount &, const ChoiceRequest &, TimePoint);

struct Best
{
    std::optional<std::size_t> index;
    Estimate estimate;
    std::size_t compared = 0;
    double soonest = std::numeric_limits<double>::max(); ///< Seconds to the end of the answer.
};

/// Compares candidates one by one and keeps the best.
class Comparison
{
public:
    Comparison(std::span<const Candidate> candidates, const ChoiceRequest &request,
               const ChoiceOptions &options, TimePoint now)
        : m_candidates(candidates)
        , m_request(request)
        , m_options(options)
        , m_now(now)
    { }

    /// Best of some random candidates and of all cache holders among @p eligible.
    Best best(const std::vector<std::size_t> &eligible, Estimator estimator,
              ChoiceRandom &random) const
    {
        Best best;
        if (eligible.empty())
            return best;
        for (std::size_t draw = 0; draw < DrawsPerChoice * m_options.choices
             && best.compared < m_options.choices && m_options.choices < eligible.size();
             ++draw)
            consider(eligible[random.below(eligible.size())], estimator, best);
        if (best.compared < m_options.choices) {
            const std::size_t offset = random.below(eligible.size());
            for (std::size_t i = 0; i < eligible.size(); ++i)
                consider(eligible[(offset + i) % eligible.size()], estimator, best);
        }
        for (const CacheHolder &holder : m_request.holders)
            considerHolder(eligible, holder, estimator, best);
        return best;
    }

private:
    void consider(std::size_t index, Estimator estimator, Best &best) const
    {
        const Candidate &candidate = m_candidates[index];
        WorkAmount work = candidate.load->estimate(m_now);
        if (!hasRoom(candidate, work, m_options, m_now))
            return;
        work.promptTokens += OthersAlike * m_options.otherInstances
            * candidate.load->unreported(m_now).promptTokens;
        const Estimate estimate = estimator(candidate, work, m_request, m_now);
        ++best.compared;
        best.soonest = std::min(best.soonest, estimate.finish);
        if (fromSeconds(estimate.finish * FinishMargin) > m_request.shape.deadline - m_now)
            return;
        if (best.index && best.estimate.cost <= estimate.cost)
            return;
        best.index = index;
        best.estimate = estimate;
    }

    void considerHolder(const std::vector<std::size_t> &eligible, const CacheHolder &holder,
                        Estimator estimator, Best &best) const
    {
        for (const std::size_t index : eligible) {
            if (m_candidates[index].load->number() == holder.backend)
                consider(index, estimator, best);
        }
    }

    std::span<const Candidate> m_candidates;
    const ChoiceRequest &m_request;
    const ChoiceOptions &m_options;
    TimePoint m_now;
};

/// Candidates in service, by what they may do for the request.
struct Eligible
{
    std::vector<std::size_t> whole;   ///< Roles Mixed and Decode.
    std::vector<std::size_t> prefill; ///< Roles Prefill and Mixed.
    std::vector<std::size_t> decode;  ///< Role Decode.
    bool modelKnown = false;
    bool mayReturn = false;    ///< One that is out of service now may be back soon.
    bool excludedOnly = false; ///< Only backend servers that failed the request are in service.
};

Eligible findEligible(std::span<const Candidate> candidates, const RequestAttributes &shape,
                      TimePoint now, bool useExcluded)
{
    Eligible eligible;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!hasModel(candidates[i].view, shape))
            continue;
        eligible.modelKnown = true;
        eligible.mayReturn = eligible.mayReturn || mayReturn(candidates[i]);
        if (!inService(candidates[i], shape, now))
            continue;
        if (!useExcluded && isExcluded(candidates[i], shape)) {
            eligible.excludedOnly = true;
            continue;
        }
        const EngineRole role = candidates[i].view.role;
        if (role != EngineRole::Decode)
            eligible.prefill.push_back(i);
        if (role != EngineRole::Prefill)
            eligible.whole.push_back(i);
        if (role == EngineRole::Decode)
            eligible.decode.push_back(i);
    }
    return eligible;
}

Eligible findEligible(std::span<const Candidate> candidates, const RequestAttributes &shape,
                      TimePoint now)
{
    Eligible eligible = findEligible(candidates, shape, now, false);
    if (eligible.whole.empty() && eligible.excludedOnly)
        eligible = findEligible(candidates, shape, now, true);
    return eligible;
}

ChoiceOutcome outcomeWithoutBackend(const Eligible &eligible)
{
    if (!eligible.modelKnown)
        return ChoiceOutcome::UnknownModel;
    return eligible.mayReturn ? ChoiceOutcome::Busy : ChoiceOutcome::NoBackend;
}

Choice wholeChoice(const Best &whole)
{
    return {ChoiceOutcome::Chosen,
            *whole.index,
            std::nullopt,
            whole.estimate.cachedTokens,
            fromSeconds(whole.estimate.firstToken),
            fromSeconds(whole.estimate.finish)};
}

Choice pairChoice(const Best &prefill, const Best &decode)
{
    const double firstToken = prefill.estimate.firstToken + TransferSeconds;
    return {ChoiceOutcome::Chosen,   *decode.index,
            prefill.index,           prefill.estimate.cachedTokens,
            fromSeconds(firstToken), fromSeconds(firstToken + decode.estimate.finish)};
}

} // namespace

std::uint64_t ChoiceRandom::next() noexcept
{
    m_state += 0x9E3779B97F4A7C15ULL;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31);
}

std::size_t ChoiceRandom::below(std::size_t bound) noexcept
{
    return next() % bound;
}

Choice chooseBackends(std::span<const Candidate> candidates, const ChoiceRequest &request,
                      const ChoiceOptions &options, TimePoint now, ChoiceRandom &random)
{
    const Eligible eligible = findEligible(candidates, request.shape, now);
    if (eligible.whole.empty())
        return {.outcome = outcomeWithoutBackend(eligible)};
    const Comparison comparison(candidates, request, options, now);
    const Best whole = comparison.best(eligible.whole, estimateWhole, random);
    const Best prefill = comparison.best(eligible.prefill, estimatePrefill, random);
    // Two mixed engines do not make a pair: nothing would be gained by the transfer.
    const bool prefillApart
        = prefill.index && candidates[*prefill.index].view.role == EngineRole::Prefill;
    const Best decode
        = comparison.best(prefillApart ? eligible.whole : eligible.decode, estimateDecode, random);
    const bool pairPossible = prefill.index && decode.index;
    if (!whole.index && !pairPossible) {
        const double soonest = std::min(whole.soonest, decode.soonest);
        const bool hopeless = soonest < std::numeric_limits<double>::max()
            && fromSeconds(soonest * FinishMargin * (1 - HopeForLess))
                > request.shape.deadline - now;
        return {.outcome = hopeless ? ChoiceOutcome::TooLate : ChoiceOutcome::Busy};
    }
    if (!pairPossible)
        return wholeChoice(whole);
    const double pairCost = prefill.estimate.cost + TransferSeconds + decode.estimate.cost;
    if (whole.index && whole.estimate.cost <= pairCost)
        return wholeChoice(whole);
    return pairChoice(prefill, decode);
}

Duration idleTimeToFinish(std::span<const Candidate> candidates, const ChoiceRequest &request)
{
    const double shortestOutput = std::max(0.0, request.output.mean - request.output.spread);
    double best = std::numeric_limits<double>::max();
    for (const Candidate &candidate : candidates) {
        if (candidate.view.phase != BackendPhase::Serving)
            continue;
        const BackendView &view = candidate.view;
        const double uncached = request.shape.promptTokens - cachedAt(candidate, request);
        const double prefill = uncached / std::max(1.0, prefillRate(view, view.role));
        if (view.role == EngineRole::Prefill)
            continue;
        best = std::min(best, prefill + idleAnswerSeconds(view, shortestOutput));
    }
    return best == std::numeric_limits<double>::max() ? Duration::zero() : fromSeconds(best);
}

double engineSeconds(const BackendView &view, double promptTokens, double outputTokens)
{
    return promptTokens / std::max(1.0, prefillRate(view, EngineRole::Mixed))
        + outputTokens / std::max(1.0, decodeRate(view, EngineRole::Mixed));
}

} // namespace gentianramp
