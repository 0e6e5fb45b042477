#include <algorithm>
#include <cmath>
#include <functional>
#include <gentianramp/replay/trace.hpp>
#include <random>

namespace gentianramp {
namespace {

/// Range of a number that is drawn uniformly.
struct Range
{
    std::uint32_t least = 0;
    std::uint32_t most = 0;
};

/// One kind of request and its rate over time.
struct Stream
{
    ServiceId service;
    CustomerId customer;
    std::uint32_t priority = 0;
    Range prompt;       ///< Without the shared prefix.
    Range prefixTokens; ///< Of each shared prefix.
    Range output;
    Duration deadline{};
    bool idempotent = true;
    std::string prefixName;     ///< Empty: no shared prefix.
    std::uint32_t prefixes = 0; ///< Number of different prefixes.
    double highestRate = 0;     ///< Per second.
    std::function<double(double seconds)> rate;
};

using Random = std::mt19937_64;

std::uint32_t draw(const Range &range, Random &random)
{
    return std::uniform_int_distribution<std::uint32_t>(range.least, range.most)(random);
}

void addPrefix(TraceRequest &request, const Stream &stream, Random &random)
{
    if (stream.prefixes == 0)
        return;
    // The square favours low numbers: some callers come back more often than others.
    const double chosen = std::uniform_real_distribution<double>(0, 1)(random);
    const auto number = static_cast<std::uint64_t>(chosen * chosen * stream.prefixes);
    Random own(std::hash<std::string>{}(stream.prefixName) + number);
    request.prefix = stream.prefixName + std::to_string(number);
    request.prefixTokens = draw(stream.prefixTokens, own);
    request.promptTokens += request.prefixTokens;
}

/// Poisson arrivals with a rate that changes over time, by thinning.
void addArrivals(const Stream &stream, double length, Random &random,
                 std::vector<TraceRequest> &requests)
{
    std::exponential_distribution<double> gap(stream.highestRate);
    std::uniform_real_distribution<double> chance(0, stream.highestRate);
    for (double at = gap(random); at < length; at += gap(random)) {
        if (chance(random) > stream.rate(at))
            continue;
        TraceRequest request{.arrival = std::chrono::milliseconds(static_cast<long>(at * 1e3)),
                             .service = stream.service,
                             .customer = stream.customer,
                             .priority = stream.priority,
                             .promptTokens = draw(stream.prompt, random),
                             .outputTokens = draw(stream.output, random),
                             .deadline = stream.deadline,
                             .idempotent = stream.idempotent};
        addPrefix(request, stream, random);
        requests.push_back(std::move(request));
    }
}

/// Share of long notes over time: phases of minutes, and swings of seconds inside them.
class NoteShare
{
public:
    NoteShare(double length, Random &random)
    {
        std::uniform_real_distribution<double> phase(70, 150);
        std::uniform_real_distribution<double> calm(15, 40);
        std::uniform_real_distribution<double> swing(4, 10);
        bool notes = random() % 2 == 0;
        for (double at = 0; at < length; notes = !notes) {
            const double end = at + phase(random);
            while (at < end) {
                at = add(at, std::min(end - at, calm(random)), notes ? High : Low);
                at = add(at, std::min(std::max(0.0, end - at), swing(random)), notes ? Low : High);
            }
        }
    }

    double at(double seconds) const
    {
        const auto part = std::ranges::lower_bound(m_parts, seconds, {}, &Part::end);
        return part == m_parts.end() ? Low : part->share;
    }

private:
    static constexpr double High = 0.85;
    static constexpr double Low = 0.15;

    struct Part
    {
        double end = 0;
        double share = 0;
    };

    double add(double at, double length, double share)
    {
        m_parts.push_back({at + length, share});
        return at + length;
    }

    std::vector<Part> m_parts;
};

constexpr double JobCardsPerSecond = 4.6;
constexpr double NotesPerSecond = 27.6;  ///< If all of the load were notes.
constexpr double TriagePerSecond = 41.4; ///< If all of the load were triage.

std::vector<Stream> kyushuStreams(double length, double load, Random &random)
{
    const auto share = std::make_shared<NoteShare>(length, random);
    const CustomerId desk("call-desk");
    const CustomerId plumbers("member-plumbers");
    Stream notes{.service = ServiceId("desk-lm"),
                 .customer = desk,
                 .priority = 2,
                 .prompt = {150, 450},
                 .prefixTokens = {800, 1600},
                 .output = {300, 600},
                 .deadline = std::chrono::seconds(30),
                 .prefixName = "rates-",
                 .prefixes = 120,
                 .highestRate = NotesPerSecond * load,
                 .rate = [=](double at) { return NotesPerSecond * load * share->at(at); }};
    Stream triage{.service = ServiceId("desk-lm"),
                  .customer = desk,
                  .priority = 1,
                  .prompt = {1500, 3500},
                  .output = {20, 60},
                  .deadline = std::chrono::seconds(6),
                  .highestRate = TriagePerSecond * load,
                  .rate = [=](double at) { return TriagePerSecond * load * (1 - share->at(at)); }};
    Stream cards{.service = ServiceId("desk-app"),
                 .customer = plumbers,
                 .priority = 0,
                 .prompt = {20, 80},
                 .output = {1, 1},
                 .deadline = std::chrono::seconds(2),
                 .idempotent = false,
                 .highestRate = JobCardsPerSecond * load,
                 .rate = [=](double) { return JobCardsPerSecond * load; }};
    return {notes, triage, cards};
}

constexpr double BayCallsPerSecond = 7.5;
constexpr double FirstQuestionsPerSecond = 27.5;
constexpr double FollowUpsPerSecond = 75;

/// Share of the morning queue's height over the trace: a ramp, a plateau, a slow fall.
double morningQueue(double part)
{
    if (part < 0.25)
        return 0.35 + 0.65 * part / 0.25;
    return part < 0.6 ? 1 : 1 - 0.5 * (part - 0.6) / 0.4;
}

std::vector<Stream> zilinaStreams(double length, double load, Random &random)
{
    const CustomerId desk("subscriber-desk");
    const CustomerId bayControllers("wash-bays");
    const double wobble = std::uniform_real_distribution<double>(0, 6.28)(random);
    // Members come with their histories first; later the same members ask again.
    const auto height = [=](double at) { return morningQueue(at / length); };
    const auto firstShare = [=](double at) {
        return std::clamp(0.9 - 0.75 * at / length + 0.1 * std::sin(at / 25 + wobble), 0.0, 1.0);
    };
    Stream first{.service = ServiceId("desk-assistant"),
                 .customer = desk,
                 .priority = 1,
                 .prompt = {3000, 9000},
                 .output = {40, 140},
                 .deadline = std::chrono::seconds(12),
                 .highestRate = FirstQuestionsPerSecond * load,
                 .rate = [=](double at) {
                     return FirstQuestionsPerSecond * load * height(at) * firstShare(at);
                 }};
    Stream followUp{.service = ServiceId("desk-assistant"),
                    .customer = desk,
                    .priority = 1,
                    .prompt = {50, 250},
                    .prefixTokens = {3000, 6000},
                    .output = {150, 350},
                    .deadline = std::chrono::seconds(16),
                    .prefixName = "member-",
                    .prefixes = 150,
                    .highestRate = FollowUpsPerSecond * load,
                    .rate = [=](double at) {
                        return FollowUpsPerSecond * load * height(at) * (1 - firstShare(at));
                    }};
    Stream bays{.service = ServiceId("bay-control"),
                .customer = bayControllers,
                .priority = 0,
                .prompt = {20, 80},
                .output = {1, 1},
                .deadline = std::chrono::seconds(1),
                .idempotent = false,
                .highestRate = BayCallsPerSecond * load,
                .rate = [=](double) { return BayCallsPerSecond * load; }};
    return {first, followUp, bays};
}

} // namespace

Trace generateTrace(const TraceShape &shape, std::uint64_t seed)
{
    Random random(seed);
    const double length = std::chrono::duration<double>(shape.length).count();
    const bool zilina = shape.deployment == Deployment::Zilina;
    Trace trace{.name = zilina ? "zilina" : "kyushu"};
    for (const Stream &stream : zilina ? zilinaStreams(length, shape.load, random)
                                       : kyushuStreams(length, shape.load, random))
        addArrivals(stream, length, random, trace.requests);
    std::ranges::stable_sort(trace.requests, {}, &TraceRequest::arrival);
    return trace;
}

} // namespace gentianramp
