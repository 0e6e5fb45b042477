#include <algorithm>
#include <gentianramp/replay/outcome.hpp>

namespace gentianramp {

std::string_view toString(OutcomeKind kind)
{
    switch (kind) {
    case OutcomeKind::Timely:
        return "timely";
    case OutcomeKind::Late:
        return "late";
    case OutcomeKind::Refused:
        return "refused";
    case OutcomeKind::Cut:
        return "cut";
    case OutcomeKind::Wrong:
        return "wrong";
    case OutcomeKind::Unknown:
        break;
    }
    return "unknown";
}

std::uint64_t ReplayResult::count(OutcomeKind kind) const
{
    return static_cast<std::uint64_t>(std::ranges::count(outcomes, kind, &RequestOutcome::kind));
}

double ReplayResult::goodput(Duration length) const
{
    const double seconds = std::chrono::duration<double>(length).count();
    return seconds > 0 ? static_cast<double>(count(OutcomeKind::Timely)) / seconds : 0;
}

Duration ReplayResult::firstTokenQuantile(double q) const
{
    std::vector<Duration> times;
    for (const RequestOutcome &outcome : outcomes) {
        if (outcome.firstToken > Duration::zero())
            times.push_back(outcome.firstToken);
    }
    if (times.empty())
        return Duration::zero();
    const auto position = static_cast<std::size_t>(q * static_cast<double>(times.size() - 1));
    std::ranges::nth_element(times, times.begin() + static_cast<std::ptrdiff_t>(position));
    return times[position];
}

} // namespace gentianramp
