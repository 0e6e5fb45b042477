#include "prefix_cache.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <gentianramp/engine/engine_model.hpp>

namespace gentianramp {

namespace {

constexpr double TokenTolerance = 1e-6; // tokens; absorbs rounding of times to nanoseconds

Duration timeFor(double tokens, double tokensPerSecond)
{
    return Duration(static_cast<std::int64_t>(std::ceil(tokens / tokensPerSecond * 1e9)));
}

double seconds(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

enum class Stage {
    Waiting,   // for a slot
    Importing, // KV cache arrives from another engine
    Prefilling,
    Decoding,
};

struct Work
{
    EngineRequest request;
    std::uint64_t arrival = 0;
    Stage stage = Stage::Waiting;
    double remaining = 0; // tokens to import or to prefill
    double emitted = 0;   // tokens since the start of the answer
    std::uint32_t reported = 0;
};

bool goesBefore(const Work &left, const Work &right)
{
    if (left.request.priority != right.request.priority)
        return left.request.priority < right.request.priority;
    return left.arrival < right.arrival;
}

} // namespace

struct EngineModel::State
{
    State(EngineModelOptions chosen, TimePoint start)
        : options(chosen)
        , cache(
              {chosen.prefixCacheTokens, chosen.cacheEventLag, chosen.cacheEventLoss, chosen.seed})
        , now(start)
        , nextReport(start)
        , currentRole(chosen.role)
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

    /// The one request whose prompt is being prefilled.
    Work *prefilling() const
    {
        Work *first = nullptr;
        for (const auto &work : works) {
            if (work->stage == Stage::Prefilling && (!first || goesBefore(*work, *first)))
                first = work.get();
        }
        return first;
    }

    double streamRate() const
    {
        const auto streams = std::count_if(works.begin(), works.end(), [](const auto &work) {
            return work->stage == Stage::Decoding;
        });
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
        if (const Work *work = prefilling())
            consider(work->remaining, prefillRate());
        const double rate = streamRate();
        for (const auto &work : works) {
            if (work->stage == Stage::Importing)
                consider(work->remaining, options.kvImportTokensPerSecond);
            if (work->stage == Stage::Decoding)
                consider(work->request.outputTokens - work->emitted, rate);
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

    void flowUntil(TimePoint until)
    {
        const double elapsed = seconds(until - now);
        const double rate = streamRate();
        if (Work *work = prefilling())
            work->remaining -= elapsed * prefillRate();
        for (const auto &work : works) {
            if (work->stage == Stage::Importing)
                work->remaining -= elapsed * options.kvImportTokensPerSecond;
            if (work->stage == Stage::Decoding) {
                const double limit = work->request.outputTokens;
                work->emitted = std::min(limit, work->emitted + elapsed * rate);
            }
        }
        now = until;
    }

    void settle(std::vector<EngineProgress> &progress)
    {
        if (changeEnds && *changeEnds <= now) {
            changeEnds.reset();
            currentRole = nextRole;
        }
        Work *const prefill = prefilling();
        for (const auto &work : works) {
            const bool done = work->remaining <= TokenTolerance;
            if (work->stage == Stage::Importing && done)
                work->stage = Stage::Decoding;
            if (work.get() == prefill && done)
                endPrefill(*work);
        }
        reportTokens(progress);
        removeFinished(progress);
        fillSlots();
    }

    void endPrefill(Work &work)
    {
        cache.store(work.request.prefixes, now);
        work.stage = Stage::Decoding;
        if (work.request.prefillOnly)
            return;
        // The step that ends a prefill also yields the first token.
        work.emitted = std::min<double>(work.request.outputTokens, work.emitted + 1);
    }

    void reportTokens(std::vector<EngineProgress> &progress)
    {
        for (const auto &work : works) {
            if (work->stage != Stage::Decoding || work->request.prefillOnly)
                continue;
            const auto whole = static_cast<std::uint32_t>(work->emitted + TokenTolerance);
            if (whole <= work->reported)
                continue;
            work->reported = whole;
            progress.push_back(
                {EngineProgressKind::Tokens, work->request.id, work->request.attempt, whole, now});
        }
    }

    void removeFinished(std::vector<EngineProgress> &progress)
    {
        std::erase_if(works, [&](const auto &work) {
            if (work->stage != Stage::Decoding)
                return false;
            const EngineRequest &request = work->request;
            if (!request.prefillOnly && work->reported < request.outputTokens)
                return false;
            const auto kind = request.prefillOnly ? EngineProgressKind::PrefillReady
                                                  : EngineProgressKind::Finished;
            progress.push_back({kind, request.id, request.attempt, work->reported, now});
            return true;
        });
    }

    void fillSlots()
    {
        auto active = static_cast<std::uint32_t>(
            std::count_if(works.begin(), works.end(),
                          [](const auto &work) { return work->stage != Stage::Waiting; }));
        while (active < options.slots) {
            Work *first = nullptr;
            for (const auto &work : works) {
                if (work->stage == Stage::Waiting && (!first || goesBefore(*work, *first)))
                    first = work.get();
            }
            if (!first)
                return;
            begin(*first);
            ++active;
        }
    }

    void begin(Work &work)
    {
        const EngineRequest &request = work.request;
        if (request.kvImported) {
            work.stage = Stage::Importing;
            work.remaining = request.promptTokens;
            return;
        }
        const std::uint32_t cached = cache.match(request.prefixes);
        cachedTokens += cached;
        // A resumed answer is prefilled again with the tokens that the caller already has.
        const double tokens = static_cast<double>(request.promptTokens) + request.resumeOffset;
        work.stage = Stage::Prefilling;
        work.remaining = std::max(1.0, tokens - cached);
    }

    LoadReport currentReport() const
    {
        LoadReport report;
        report.takenAt = now;
        report.kvCapacityTokens = options.prefixCacheTokens;
        for (const auto &work : works) {
            const bool waiting = work->stage == Stage::Waiting;
            report.running += waiting ? 0 : 1;
            report.queued += waiting ? 1 : 0;
            if (waiting)
                report.promptTokens += work->request.promptTokens;
            if (work->stage == Stage::Prefilling)
                report.promptTokens += static_cast<std::uint64_t>(std::max(0.0, work->remaining));
            report.outputTokens += static_cast<std::uint64_t>(
                std::max(0.0, work->request.outputTokens - work->emitted));
            report.kvTokens += work->request.promptTokens + work->reported;
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

    void cutAll(std::vector<EngineProgress> &progress)
    {
        for (const auto &work : works)
            progress.push_back({EngineProgressKind::Cut, work->request.id, work->request.attempt,
                                work->reported, now});
        works.clear();
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
    std::vector<std::unique_ptr<Work>> works;
    std::vector<EngineProgress> pending;
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
    m_state->pending = advance(now);
    if (phase() != BackendPhase::Serving)
        return false;
    auto work = std::make_unique<Work>();
    work->request = request;
    work->arrival = ++m_state->lastArrival;
    work->emitted = request.resumeOffset;
    work->reported = request.resumeOffset;
    m_state->works.push_back(std::move(work));
    m_state->fillSlots();
    return true;
}

bool EngineModel::cancel(const RequestId &id, const Attempt &attempt, TimePoint now)
{
    m_state->pending = advance(now);
    const auto removed = std::erase_if(m_state->works, [&](const auto &work) {
        return work->request.id == id && work->request.attempt == attempt;
    });
    m_state->fillSlots();
    return removed > 0;
}

std::vector<EngineProgress> EngineModel::advance(TimePoint now)
{
    State &state = *m_state;
    std::vector<EngineProgress> progress = std::move(state.pending);
    state.pending.clear();
    for (;;) {
        const std::optional<TimePoint> next = state.nextEvent();
        if (!next || *next > now)
            break;
        state.flowUntil(std::max(*next, state.now));
        state.settle(progress);
    }
    if (state.now < now) {
        state.flowUntil(now);
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
    m_state->cutAll(progress);
    m_state->cache.clear(now);
    m_state->nextRole = role;
    m_state->changeEnds = now + m_state->options.roleChangeTime;
    m_state->pending = std::move(progress);
}

void EngineModel::setDraining(bool draining, TimePoint now)
{
    m_state->pending = advance(now);
    m_state->draining = draining;
}

void EngineModel::setLeaving(TimePoint now)
{
    m_state->pending = advance(now);
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
    return m_state->works.size();
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
