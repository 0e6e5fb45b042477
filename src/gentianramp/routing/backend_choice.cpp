#include "gentianramp/routing/backend_choice.hpp"

#include <algorithm>
#include <cmath>
#include <gentianramp/routing/role_speed.hpp>
#include <limits>

namespace gentianramp {
namespace {

/// Backlog of prompt tokens beyond which requests wait at the entry instance.
constexpr double PrefillBacklogSeconds = 2.0;
constexpr double TransferSeconds = 0.02;      ///< Duration of a KV cache transfer.
constexpr double RemotePenaltySeconds = 0.05; ///< Cost of another data centre.
/// Breaks ties between backend servers without token work.
constexpr double OccupancyPenaltySeconds = 0.001;
constexpr double FirstTokenWeight = 1.0; ///< Cost per second until the first token.
/// Factor on finish estimates, since later requests on the same engine slow an answer down.
constexpr double FinishMargin = 1.8;
/// Work that each other instance is assumed to have sent since the report, relative to own work.
constexpr double AssumedPeerShare = 0.8;
/// Relative decrease of a finish estimate that waiting may bring. A request whose deadline even
/// this can't meet is refused.
constexpr double MaxEstimateDecrease = 0.2;
constexpr std::size_t DrawsPerCandidate = 3; ///< Random draws per candidate to compare.

/// Expected times and cost of the request on one backend server.
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

bool hasModel(const BackendView &view, const RequestAttributes &attributes)
{
    if (attributes.version) {
        const bool loaded
            = std::ranges::any_of(view.models, [&attributes](const LoadedModel &model) {
                  return model.version == *attributes.version;
              });
        if (!loaded)
            return false;
    }
    return attributes.adapter.empty()
        || std::ranges::find(view.adapters, attributes.adapter) != view.adapters.end();
}

bool inService(const Candidate &candidate, const RequestAttributes &attributes, TimePoint now)
{
    return candidate.view.phase == BackendPhase::Serving
        && candidate.load->breaker().mayAllow(attributes.idempotent, now);
}

bool isExcluded(const Candidate &candidate, const RequestAttributes &attributes)
{
    return std::ranges::find(attributes.excluded, candidate.view.id) != attributes.excluded.end();
}

/// Whether a request may wait for the backend server.
bool mayReturn(const Candidate &candidate)
{
    return candidate.view.phase == BackendPhase::Serving
        || candidate.view.phase == BackendPhase::Changing;
}

std::uint32_t cachedAt(const Candidate &candidate, const ChoiceRequest &request)
{
    const auto holder
        = std::ranges::find(request.holders, candidate.load->number(), &CacheHolder::backend);
    return holder == request.holders.end()
        ? 0
        : std::min(holder->tokens, request.attributes.promptTokens);
}

/// Whether the backend server has capacity for another request. The other instances use the same
/// report; each is assumed to have sent AssumedPeerShare of what this instance sent since.
bool hasCapacity(const Candidate &candidate, const WorkAmount &work, const ChoiceOptions &options,
                 TimePoint now)
{
    const BackendView &view = candidate.view;
    const SentWork sentSinceReport = candidate.load->sentSinceReport(now);
    const double peerRatio = AssumedPeerShare * options.otherInstances;
    const double usableSlots = std::max(1.0, std::floor(view.slots * (1 - options.reservedShare)));
    if (work.requests + peerRatio * sentSinceReport.requests >= usableSlots)
        return false;
    const double prompt = work.promptTokens + peerRatio * sentSinceReport.promptTokens;
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

/// Seconds that the engine needs for that much work; it decodes at a reduced rate during prefills.
double drainSeconds(const BackendView &view, double promptTokens, double outputTokens)
{
    const double prefill = prefillSeconds(view, promptTokens);
    const double overlapped = prefill * roleSpeed(view.role).decodeDuringPrefill;
    return prefill + std::max(0.0, decodeSeconds(view, outputTokens) - overlapped);
}

/// Seconds that an answer takes on an otherwise idle engine, from the first to the last token.
double idleAnswerSeconds(const BackendView &view, double outputTokens)
{
    const double streamLimited
        = view.streamTokensPerSecond > 0 ? outputTokens / view.streamTokensPerSecond : 0;
    return std::max(streamLimited, decodeSeconds(view, outputTokens));
}

/// Seconds from the first to the last token of an answer while the engine also does @p work, at the
/// rate that its streams had recently.
double answerSeconds(const Candidate &candidate, const WorkAmount &work, double outputTokens,
                     TimePoint now)
{
    const BackendView &view = candidate.view;
    const double shared = decodeRate(view, view.role) / (1 + work.requests);
    const double expected = std::min(view.streamTokensPerSecond, shared);
    const double rate = candidate.load->streamRate(expected, now);
    return rate > 0 ? outputTokens / rate : 0;
}

/// Increase of the squared drain time. The square makes work cost more on an engine that has a long
/// backlog or needs long for this work, which balances the engines.
double addedCost(double drainBefore, double drainAfter)
{
    return drainAfter * drainAfter - drainBefore * drainBefore;
}

double fixedCost(const Candidate &candidate, const WorkAmount &work)
{
    const double occupied = work.requests / std::max(1U, candidate.view.slots);
    return (candidate.local ? 0 : RemotePenaltySeconds) + OccupancyPenaltySeconds * occupied;
}

/// Prefill and decode on the same engine.
Estimate estimateSingleEngine(const Candidate &candidate, const WorkAmount &work,
                              const ChoiceRequest &request, TimePoint now)
{
    const BackendView &view = candidate.view;
    Estimate estimate;
    estimate.cachedTokens = cachedAt(candidate, request);
    const double prompt
        = work.promptTokens + request.attributes.promptTokens - estimate.cachedTokens;
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
    const double prompt
        = work.promptTokens + request.attributes.promptTokens - estimate.cachedTokens;
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

struct BestCandidate
{
    std::optional<std::size_t> index;
    Estimate estimate;
    std::size_t compared = 0;
    /// Earliest end of the answer at any compared candidate, in seconds from now.
    double earliestFinish = std::numeric_limits<double>::max();
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

    /// Best of a random sample of @p eligible and of all cache holders in it. When the draws find
    /// too few candidates with capacity, compares all of @p eligible.
    BestCandidate best(const std::vector<std::size_t> &eligible, Estimator estimator,
                       ChoiceRandom &random) const
    {
        BestCandidate best;
        if (eligible.empty())
            return best;
        for (std::size_t draw = 0; draw < DrawsPerCandidate * m_options.choices
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
    void consider(std::size_t index, Estimator estimator, BestCandidate &best) const
    {
        const Candidate &candidate = m_candidates[index];
        WorkAmount work = candidate.load->estimate(m_now);
        if (!hasCapacity(candidate, work, m_options, m_now))
            return;
        work.promptTokens += AssumedPeerShare * m_options.otherInstances
            * candidate.load->sentSinceReport(m_now).promptTokens;
        const Estimate estimate = estimator(candidate, work, m_request, m_now);
        ++best.compared;
        best.earliestFinish = std::min(best.earliestFinish, estimate.finish);
        if (fromSeconds(estimate.finish * FinishMargin) > m_request.attributes.deadline - m_now)
            return;
        if (best.index && best.estimate.cost <= estimate.cost)
            return;
        best.index = index;
        best.estimate = estimate;
    }

    void considerHolder(const std::vector<std::size_t> &eligible, const CacheHolder &holder,
                        Estimator estimator, BestCandidate &best) const
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

/// Indices of the candidates in service, by the part of the request that they can run.
struct Eligible
{
    std::vector<std::size_t> singleEngine; ///< Prefill and decode: roles Mixed and Decode.
    std::vector<std::size_t> prefill;      ///< Prefill alone: roles Prefill and Mixed.
    std::vector<std::size_t> decode;       ///< Decode alone: role Decode.
    bool modelKnown = false;
    bool mayReturn = false;         ///< One that is out of service may return soon.
    bool excludedInService = false; ///< An excluded backend server is in service.
};

Eligible findEligible(std::span<const Candidate> candidates, const RequestAttributes &attributes,
                      TimePoint now, bool useExcluded)
{
    Eligible eligible;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!hasModel(candidates[i].view, attributes))
            continue;
        eligible.modelKnown = true;
        eligible.mayReturn = eligible.mayReturn || mayReturn(candidates[i]);
        if (!inService(candidates[i], attributes, now))
            continue;
        if (!useExcluded && isExcluded(candidates[i], attributes)) {
            eligible.excludedInService = true;
            continue;
        }
        const EngineRole role = candidates[i].view.role;
        if (role != EngineRole::Decode)
            eligible.prefill.push_back(i);
        if (role != EngineRole::Prefill)
            eligible.singleEngine.push_back(i);
        if (role == EngineRole::Decode)
            eligible.decode.push_back(i);
    }
    return eligible;
}

Eligible findEligible(std::span<const Candidate> candidates, const RequestAttributes &attributes,
                      TimePoint now)
{
    Eligible eligible = findEligible(candidates, attributes, now, false);
    if (eligible.singleEngine.empty() && eligible.excludedInService)
        eligible = findEligible(candidates, attributes, now, true);
    return eligible;
}

ChoiceOutcome outcomeWithoutBackend(const Eligible &eligible)
{
    if (!eligible.modelKnown)
        return ChoiceOutcome::UnknownModel;
    return eligible.mayReturn ? ChoiceOutcome::Busy : ChoiceOutcome::NoBackend;
}

Choice singleEngineChoice(const BestCandidate &singleEngine)
{
    return {ChoiceOutcome::Chosen,
            *singleEngine.index,
            std::nullopt,
            singleEngine.estimate.cachedTokens,
            fromSeconds(singleEngine.estimate.firstToken),
            fromSeconds(singleEngine.estimate.finish)};
}

Choice pairChoice(const BestCandidate &prefill, const BestCandidate &decode)
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
    const Eligible eligible = findEligible(candidates, request.attributes, now);
    if (eligible.singleEngine.empty())
        return {.outcome = outcomeWithoutBackend(eligible)};
    const Comparison comparison(candidates, request, options, now);
    const BestCandidate singleEngine
        = comparison.best(eligible.singleEngine, estimateSingleEngine, random);
    const BestCandidate prefill = comparison.best(eligible.prefill, estimatePrefill, random);
    // Two mixed engines are not paired, since the transfer would gain nothing.
    const bool dedicatedPrefill
        = prefill.index && candidates[*prefill.index].view.role == EngineRole::Prefill;
    const BestCandidate decode = comparison.best(
        dedicatedPrefill ? eligible.singleEngine : eligible.decode, estimateDecode, random);
    const bool pairPossible = prefill.index && decode.index;
    if (!singleEngine.index && !pairPossible) {
        const double earliestFinish = std::min(singleEngine.earliestFinish, decode.earliestFinish);
        const bool deadlineUnreachable = earliestFinish < std::numeric_limits<double>::max()
            && fromSeconds(earliestFinish * FinishMargin * (1 - MaxEstimateDecrease))
                > request.attributes.deadline - now;
        return {.outcome = deadlineUnreachable ? ChoiceOutcome::TooLate : ChoiceOutcome::Busy};
    }
    if (!pairPossible)
        return singleEngineChoice(singleEngine);
    const double pairCost = prefill.estimate.cost + TransferSeconds + decode.estimate.cost;
    if (singleEngine.index && singleEngine.estimate.cost <= pairCost)
        return singleEngineChoice(singleEngine);
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
        const double uncached = request.attributes.promptTokens - cachedAt(candidate, request);
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
