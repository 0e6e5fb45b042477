#include <gentianramp/registry/duty_runner.hpp>

#include <algorithm>

namespace gentianramp {

namespace {

constexpr std::uint32_t MaxDoublings = 8;

} // namespace

void DutyAuthority::gain(std::uint64_t token, TimePoint now)
{
    m_token = token;
    m_actsFrom = now + m_margin;
}

DutyRunner::DutyRunner(DutyRunnerOptions options)
    : m_options(options)
{ }

void DutyRunner::add(DutyCall call, TimePoint now)
{
    Subject &subject = m_subjects[{call.kind, call.subject}];
    if (subject.calls.empty() && !subject.inFlight && subject.failures == 0)
        subject.notBefore = now;
    if (call.kind == DutyCall::Kind::OrderServers) {
        const auto waiting
            = std::find_if(subject.calls.begin(), subject.calls.end(),
                           [&](const DutyCall &other) { return other.variant == call.variant; });
        if (waiting != subject.calls.end()) {
            *waiting = std::move(call);
            return;
        }
    }
    subject.calls.push_back(std::move(call));
}

std::optional<DutyCall> DutyRunner::take(TimePoint now)
{
    if (now < m_nextCallAt)
        return std::nullopt;
    for (auto &[key, subject] : m_subjects) {
        if (subject.inFlight || subject.calls.empty() || now < subject.notBefore)
            continue;
        subject.inFlight = true;
        m_nextCallAt = now
            + std::chrono::duration_cast<Duration>(
                           std::chrono::duration<double>(1 / m_options.callsPerSecond));
        DutyCall call = std::move(subject.calls.front());
        subject.calls.pop_front();
        return call;
    }
    return std::nullopt;
}

void DutyRunner::finish(const DutyCall &call, DutyAnswer answer, TimePoint now)
{
    const auto found = m_subjects.find({call.kind, call.subject});
    if (found == m_subjects.end() || !found->second.inFlight)
        return;
    Subject &subject = found->second;
    subject.inFlight = false;
    if (answer != DutyAnswer::Unanswered) {
        subject.failures = 0;
        subject.notBefore = now;
        return;
    }
    const bool isReplaced = call.kind == DutyCall::Kind::OrderServers
        && std::any_of(subject.calls.begin(), subject.calls.end(),
                       [&](const DutyCall &other) { return other.variant == call.variant; });
    if (!isReplaced)
        subject.calls.push_front(call);
    subject.notBefore = now
        + std::min<Duration>(m_options.firstRetryDelay
                                 * (1U << std::min(subject.failures, MaxDoublings)),
                             m_options.longestRetryDelay);
    ++subject.failures;
}

void DutyRunner::clear()
{
    m_subjects.clear();
}

std::size_t DutyRunner::waiting() const
{
    std::size_t count = 0;
    for (const auto &[key, subject] : m_subjects)
        count += subject.calls.size() + (subject.inFlight ? 1 : 0);
    return count;
}

} // namespace gentianramp
