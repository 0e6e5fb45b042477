#include <algorithm>
#include <array>
#include <cmath>
#include <gentianramp/replay/goodput_bound.hpp>
#include <set>

namespace gentianramp {
namespace {

constexpr Duration SlotLength = std::chrono::seconds(1);

/// Prices of a prompt token in output tokens. Any price gives a bound; these are where the roles
/// of the engine model trade places, and the ends.
constexpr std::array PromptPrices{0.0, 0.0875, 0.11875, 0.13, 0.15, 0.25, 10.0};

/// A request as the bound sees it.
struct Job
{
    std::size_t release = 0; ///< First slot in which it may be worked on.
    std::size_t end = 0;     ///< Slot before which it has to be done.
    double prompt = 0;       ///< Tokens that no cache could save.
    double output = 0;       ///< Tokens after the first, which prefill yields.
};

std::vector<Job> jobsOf(const Trace &trace, const ReplayFleet &fleet)
{
    std::vector<Job> jobs;
    std::set<std::string> seen;
    for (const TraceRequest &request : trace.requests) {
        if (request.service != fleet.modelService)
            continue;
        const bool cached = !request.prefix.empty() && !seen.insert(request.prefix).second;
        const double saved = cached ? request.prefixTokens : 0;
        const Duration deadline = request.arrival + request.deadline;
        jobs.push_back(
            {.release = static_cast<std::size_t>(request.arrival / SlotLength),
             .end = static_cast<std::size_t>((deadline + SlotLength - Duration(1)) / SlotLength),
             .prompt = std::max(1.0, request.promptTokens - saved),
             .output = std::max(0.0, request.outputTokens - 1.0)});
    }
    return jobs;
}

double valueOf(const RoleRates &rates, const EngineModelOptions &engine, double price)
{
    const double decoding = engine.decodeTokensPerSecond * rates.decode;
    const double prefilling = price * engine.prefillTokensPerSecond * rates.prefill
        + decoding * rates.decodeDuringPrefill;
    return std::max(decoding, prefilling);
}

/// Priced tokens that an engine does in one slot at most, in whatever role.
double slotCapacity(const EngineModelOptions &engine, double price)
{
    const double best
        = std::max({valueOf(engine.mixed, engine, price), valueOf(engine.prefill, engine, price),
                    valueOf(engine.decode, engine, price)});
    return best * std::chrono::duration<double>(SlotLength).count();
}

/// Work accepted so far whose windows lie within each span of slots.
class SpanLoads
{
public:
    SpanLoads(std::size_t slots, double capacity)
        : m_slots(slots)
        , m_capacity(capacity)
        , m_loads((slots + 1) * (slots + 1), 0)
    { }

    /// Accepts as much of @p amount as fits into the window; returns what fitted.
    double accept(const Job &job, double amount)
    {
        double fits = amount;
        for (std::size_t begin = 0; begin <= job.release; ++begin) {
            const double *row = &m_loads[begin * (m_slots + 1)];
            for (std::size_t end = job.end; end <= m_slots; ++end)
                fits = std::min(fits, m_capacity * static_cast<double>(end - begin) - row[end]);
        }
        if (fits <= 0)
            return 0;
        for (std::size_t begin = 0; begin <= job.release; ++begin) {
            double *row = &m_loads[begin * (m_slots + 1)];
            for (std::size_t end = job.end; end <= m_slots; ++end)
                row[end] += fits;
        }
        return fits;
    }

private:
    std::size_t m_slots;
    double m_capacity;
    std::vector<double> m_loads;
};

double boundAt(const std::vector<Job> &jobs, double price, double capacity)
{
    std::size_t slots = 1;
    for (const Job &job : jobs)
        slots = std::max(slots, job.end);
    const auto cost = [price](const Job &job) { return job.output + price * job.prompt; };
    std::vector<const Job *> order;
    order.reserve(jobs.size());
    for (const Job &job : jobs)
        order.push_back(&job);
    std::ranges::stable_sort(order, {}, [&cost](const Job *job) { return cost(*job); });
    SpanLoads loads(slots, capacity);
    double answers = 0;
    for (const Job *job : order) {
        const double amount = cost(*job);
        answers += amount > 0 ? loads.accept(*job, amount) / amount : 1;
    }
    return answers;
}

} // namespace

double timelyAnswersBound(const Trace &trace, const ReplayFleet &fleet)
{
    const std::vector<Job> jobs = jobsOf(trace, fleet);
    const auto others = static_cast<double>(trace.requests.size() - jobs.size());
    const double engines = static_cast<double>(fleet.sites) * fleet.enginesPerSite;
    double best = static_cast<double>(jobs.size());
    for (const double price : PromptPrices)
        best = std::min(best, boundAt(jobs, price, engines * slotCapacity(fleet.engine, price)));
    return others + best;
}

} // namespace gentianramp
