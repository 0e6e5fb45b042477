#include "prefix_cache.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <gentianramp/engine/engine_model.hpp>

namespace gentianramp {

namespace {

constexpr double TokenTolerance = 1e-6; // tokens; covers the rounding of times to nanoseconds

Duration timeFor(double tokens, double tokensPerSecond)
{
    return Duration(static_cast<std::int64_t>(std::ceil(tokens / tokensPerSecond * 1e9)));
}

double seconds(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

enum class Stage {
    Waiting,   // for a slot in the batch
    Importing, // the KV cache is being transferred from another engine
    Prefilling,
    Decoding,
};

/// A request that is waiting or running.
struct AcceptedRequest
{
    EngineRequest request;
    std::uint64_t arrival = 0;
    Stage stage = Stage::Waiting;
    double remaining = 0; // tokens to import or to prefill
    double emitted = 0;   // tokens since the start of the answer
    std::uint32_t reported = 0;
};

bool precedes(const AcceptedRequest &left, const AcceptedRequest &right)
{
    if (left.request.priority != right.request.priority)
        return left.request.priority < right.request.priority;
    return left.arrival < right.arrival;
}

} // namespace

struct EngineModel::State
{
    State(EngineModelOptions initialOptions, TimePoint start)
        : options(initialOptions)
        , cache({initialOptions.prefixCacheTokens, initialOptions.cacheEventLag,
                 initialOptions.cacheEventLoss, initialOptions.seed})
        , now(start)
        , nextReport(start)
        , currentRole(initialOptions.role)
    { }

    const RoleRates &rates() const
    {
        switch (currentRole) {
        case EngineRole::Prefill:
            return options.prefill;
        case EngineRole::Decode:
            return options.decode;
        case EngineRole::Mixed:
            break;
        }
        return options.mixed;
    }

    /// The request whose prompt is being prefilled; null when there is none.
    AcceptedRequest *prefilling() const
    {
        AcceptedRequest *first = nullptr;
        for (const auto &accepted : acceptedRequests) {
            if (accepted->stage == Stage::Prefilling && (!first || precedes(*accepted, *first)))
                first = accepted.get();
        }
        return first;
    }

    double streamRate() const
    {
        const auto streams = std::count_if(
            acceptedRequests.begin(), acceptedRequests.end(),
            [](const auto &accepted) { return accepted->stage == Stage::Decoding; });
        if (streams == 0)
            return 0;
        double total = options.decodeTokensPerSecond * rates().decode;
        if (prefilling())
            total *= rates().decodeDuringPrefill;
        return std::min(options.streamTokensPerSecond, total / static_cast<double>(streams));
    }

    double prefillRate() const { return options.prefillTokensPerSecond * rates().prefill; }

    std::optional<TimePoint> nextWorkEvent() const
    {
        std::optional<TimePoint> next;
        const auto consider = [&](double tokens, double rate) {
            if (rate <= 0)
                return;
            const TimePoint at = now + timeFor(std::max(0.0, tokens), rate);
            if (!next || at < *next)
                next = at;
        };
        if (const AcceptedRequest *accepted = prefilling())
            consider(accepted->remaining, prefillRate());
        const double rate = streamRate();
        for (const auto &accepted : acceptedRequests) {
            if (accepted->stage == Stage::Importing)
                consider(accepted->remaining, options.kvImportTokensPerSecond);
            if (accepted->stage == Stage::Decoding)
                consider(accepted->request.outputTokens - accepted->emitted, rate);
        }
        return next;
    }

    std::optional<TimePoint> nextEvent() const
    {
        std::optional<TimePoint> next = nextWorkEvent();
        if (changeEnds && (!next || *changeEnds < *next))
            next = changeEnds;
        return next;
    }

    void advanceTokensTo(TimePoint until)
    {
        const double elapsed = seconds(until - now);
        const double rate = streamRate();
        if (AcceptedRequest *accepted = prefilling())
            accepted->remaining -= elapsed * prefillRate();
        for (const auto &accepted : acceptedRequests) {
            if (accepted->stage == Stage::Importing)
                accepted->remaining -= elapsed * options.kvImportTokensPerSecond;
            if (accepted->stage == Stage::Decoding) {
                const double limit = accepted->request.outputTokens;
                accepted->emitted = std::min(limit, accepted->emitted + elapsed * rate);
            }
        }
        now = until;
    }

    void applyDueEvents(std::vector<EngineProgress> &progress)
    {
        if (changeEnds && *changeEnds <= now) {
            changeEnds.reset();
            currentRole = nextRole;
        }
        AcceptedRequest *const prefill = prefilling();
        for (const auto &accepted : acceptedRequests) {
            const bool done = accepted->remaining <= TokenTolerance;
            if (accepted->stage == Stage::Importing && done)
                accepted->stage = Stage::Decoding;
            if (accepted.get() == prefill && done)
                endPrefill(*accepted);
        }
        reportTokens(progress);
        removeFinished(progress);
        fillSlots();
    }

    void endPrefill(AcceptedRequest &accepted)
    {
        cache.store(accepted.request.prefixes, now);
        accepted.stage = Stage::Decoding;
        if (accepted.request.prefillOnly)
            return;
        // The last prefill step also decodes the first token.
        accepted.emitted = std::min<double>(accepted.request.outputTokens, accepted.emitted + 1);
    }

    void reportTokens(std::vector<EngineProgress> &progress)
    {
        for (const auto &accepted : acceptedRequests) {
            if (accepted->stage != Stage::Decoding || accepted->request.prefillOnly)
                continue;
            const auto wholeTokens = static_cast<std::uint32_t>(accepted->emitted + TokenTolerance);
            if (wholeTokens <= accepted->reported)
                continue;
            accepted->reported = wholeTokens;
            progress.push_back({EngineProgressKind::Tokens, accepted->request.id,
                                accepted->request.attempt, wholeTokens, now});
        }
    }

    void removeFinished(std::vector<EngineProgress> &progress)
    {
        std::erase_if(acceptedRequests, [&](const auto &accepted) {
            if (accepted->stage != Stage::Decoding)
                return false;
            const EngineRequest &request = accepted->request;
            if (!request.prefillOnly && accepted->reported < request.outputTokens)
                return false;
            const auto kind = request.prefillOnly ? EngineProgressKind::PrefillReady
                                                  : EngineProgressKind::Finished;
            progress.push_back({kind, request.id, request.attempt, accepted->reported, now});
            return true;
        });
    }

    void fillSlots()
    {
        auto occupiedSlots = static_cast<std::uint32_t>(
            std::count_if(acceptedRequests.begin(), acceptedRequests.end(),
                          [](const auto &accepted) { return accepted->stage != Stage::Waiting; }));
        while (occupiedSlots < options.slots) {
            AcceptedRequest *first = nullptr;
            for (const auto &accepted : acceptedRequests) {
                if (accepted->stage == Stage::Waiting && (!first || precedes(*accepted, *first)))
                    first = accepted.get();
            }
            if (!first)
                return;
            startRequest(*first);
            ++occupiedSlots;
        }
    }

    void startRequest(AcceptedRequest &accepted)
    {
        const EngineRequest &request = accepted.request;
        if (request.kvImported) {
            accepted.stage = Stage::Importing;
            accepted.remaining = request.promptTokens;
            return;
        }
        const std::uint32_t cached = cache.match(request.prefixes);
        cachedTokens += cached;
        // To resume an answer, the tokens that the caller already has are prefilled with the
        // prompt.
        const double tokens = static_cast<double>(request.promptTokens) + request.resumeOffset;
        accepted.stage = Stage::Prefilling;
        accepted.remaining = std::max(1.0, tokens - cached);
    }

    LoadReport currentReport() const
    {
        LoadReport report;
        report.takenAt = now;
        report.kvCapacityTokens = options.prefixCacheTokens;
        for (const auto &accepted : acceptedRequests) {
            const bool waiting = accepted->stage == Stage::Waiting;
            report.running += waiting ? 0 : 1;
            report.queued += waiting ? 1 : 0;
            if (waiting)
                report.promptTokens += accepted->request.promptTokens;
            if (accepted->stage == Stage::Prefilling)
                report.promptTokens
                    += static_cast<std::uint64_t>(std::max(0.0, accepted->remaining));
            report.outputTokens += static_cast<std::uint64_t>(
                std::max(0.0, accepted->request.outputTokens - accepted->emitted));
            report.kvTokens += accepted->request.promptTokens + accepted->reported;
        }
        return report;
    }

    void recordReports()
    {
        if (now < nextReport)
            return;
        reports.push_back(currentReport());
        nextReport = now + options.reportInterval;
        while (reports.size() > 1 && reports[1].takenAt + options.reportLag <= now)
            reports.pop_front();
    }

    void abortAll(std::vector<EngineProgress> &progress)
    {
        for (const auto &accepted : acceptedRequests)
            progress.push_back({EngineProgressKind::Cut, accepted->request.id,
                                accepted->request.attempt, accepted->reported, now});
        acceptedRequests.clear();
    }

    EngineModelOptions options;
    PrefixCache cache;
    TimePoint now;
    TimePoint nextReport;
    EngineRole currentRole;
    EngineRole nextRole = EngineRole::Mixed;
    std::optional<TimePoint> changeEnds;
    bool draining = false;
    bool leaving = false;
    std::uint64_t lastArrival = 0;
    std::uint64_t cachedTokens = 0;
    std::vector<std::unique_ptr<AcceptedRequest>> acceptedRequests;
    std::vector<EngineProgress> unreturned; ///< Progress for the next advance() to return.
    std::deque<LoadReport> reports;
};

EngineModel::EngineModel(EngineModelOptions options, TimePoint start)
    : m_state(std::make_unique<State>(options, start))
{ }

EngineModel::~EngineModel() = default;
EngineModel::EngineModel(EngineModel &&) noexcept = default;
EngineModel &EngineModel::operator=(EngineModel &&) noexcept = default;

bool EngineModel::submit(const EngineRequest &request, TimePoint now)
{
    m_state->unreturned = advance(now);
    if (phase() != BackendPhase::Serving)
        return false;
    auto accepted = std::make_unique<AcceptedRequest>();
    accepted->request = request;
    accepted->arrival = ++m_state->lastArrival;
    accepted->emitted = request.resumeOffset;
    accepted->reported = request.resumeOffset;
    m_state->acceptedRequests.push_back(std::move(accepted));
    m_state->fillSlots();
    return true;
}

bool EngineModel::cancel(const RequestId &id, const Attempt &attempt, TimePoint now)
{
    m_state->unreturned = advance(now);
    const auto removed = std::erase_if(m_state->acceptedRequests, [&](const auto &accepted) {
        return accepted->request.id == id && accepted->request.attempt == attempt;
    });
    m_state->fillSlots();
    return removed > 0;
}

std::vector<EngineProgress> EngineModel::advance(TimePoint now)
{
    State &state = *m_state;
    std::vector<EngineProgress> progress = std::move(state.unreturned);
    state.unreturned.clear();
    for (;;) {
        const std::optional<TimePoint> next = state.nextEvent();
        if (!next || *next > now)
            break;
        state.advanceTokensTo(std::max(*next, state.now));
        state.applyDueEvents(progress);
    }
    if (state.now < now) {
        state.advanceTokensTo(now);
        state.reportTokens(progress);
    }
    state.recordReports();
    return progress;
}

std::optional<TimePoint> EngineModel::nextEvent() const
{
    return m_state->nextEvent();
}

void EngineModel::setRole(EngineRole role, TimePoint now)
{
    std::vector<EngineProgress> progress = advance(now);
    m_state->abortAll(progress);
    m_state->cache.clear(now);
    m_state->nextRole = role;
    m_state->changeEnds = now + m_state->options.roleChangeTime;
    m_state->unreturned = std::move(progress);
}

void EngineModel::setDraining(bool draining, TimePoint now)
{
    m_state->unreturned = advance(now);
    m_state->draining = draining;
}

void EngineModel::setLeaving(TimePoint now)
{
    m_state->unreturned = advance(now);
    m_state->leaving = true;
}

void EngineModel::clearCache(TimePoint now)
{
    m_state->cache.clear(now);
}

EngineRole EngineModel::role() const
{
    return m_state->currentRole;
}

BackendPhase EngineModel::phase() const
{
    if (m_state->leaving)
        return BackendPhase::Leaving;
    if (m_state->changeEnds)
        return BackendPhase::Changing;
    return m_state->draining ? BackendPhase::Draining : BackendPhase::Serving;
}

std::size_t EngineModel::outstanding() const
{
    return m_state->acceptedRequests.size();
}

std::uint64_t EngineModel::cachedTokens() const
{
    return m_state->cachedTokens;
}

LoadReport EngineModel::loadReport(TimePoint now) const
{
    LoadReport published;
    for (const LoadReport &report : m_state->reports) {
        if (report.takenAt + m_state->options.reportLag <= now)
            published = report;
    }
    return published;
}

CacheEvents EngineModel::cacheEvents(std::uint64_t after, TimePoint now) const
{
    return m_state->cache.events(after, now);
}

} // namespace gentianramp
