#include "racing_operator.hpp"

#include <algorithm>
#include <thread>

namespace gentianramp {

namespace {

constexpr Duration AnswerTimeout = std::chrono::milliseconds(500);
constexpr int MaxSends = 100;
constexpr double ResendShare = 0.3; ///< Of the answered commands.

std::int64_t nowNs()
{
    return RuntimeClock::now().time_since_epoch().count();
}

/// True when the answer settles the command: the same for every later resend.
bool settles(proto::OperatorError error)
{
    return error == proto::OPERATOR_ERROR_NONE || error == proto::OPERATOR_ERROR_CONFLICT;
}

void raise(std::atomic<std::uint64_t> &value, std::uint64_t to)
{
    std::uint64_t known = value.load();
    while (known < to && !value.compare_exchange_weak(known, to)) {
    }
}

} // namespace

RacingOperator::RacingOperator(std::string name, OperatorLink &link, RaceState &race,
                               ConfigurationSource source, std::uint64_t seed)
    : m_name(std::move(name))
    , m_link(link)
    , m_race(race)
    , m_source(std::move(source))
    , m_random(seed)
{ }

void RacingOperator::run(Duration pause)
{
    while (!m_race.stop) {
        runCommand();
        wait(pause);
    }
}

void RacingOperator::runCommand()
{
    if (m_race.revision == 0)
        learnRevision();
    CommandRecord record{.command = m_name + "-" + std::to_string(m_records.size()),
                         .base = m_race.revision,
                         .sentNs = nowNs()};
    proto::OperatorRequest request;
    request.set_author(m_name);
    request.mutable_apply()->set_base_revision(record.base);
    request.mutable_apply()->set_command_id(record.command);
    request.mutable_apply()->set_configuration(m_source(m_random()));
    bool settled = false;
    for (int sends = 0; sends < MaxSends && !settled; ++sends)
        settled = send(record, request);
    if (settled && std::uniform_real_distribution<double>(0, 1)(m_random) < ResendShare)
        send(record, request);
    m_records.push_back(std::move(record));
}

bool RacingOperator::send(CommandRecord &record, const proto::OperatorRequest &request)
{
    const auto answer = m_link.call(anyControl(), request, AnswerTimeout);
    if (!answer)
        return false;
    record.answers.push_back(
        {.error = answer->error(), .revision = answer->apply().revision(), .atNs = nowNs()});
    raise(m_race.revision, answer->apply().current_revision());
    raise(m_race.revision, answer->apply().revision());
    if (answer->error() == proto::OPERATOR_ERROR_NONE && record.answers.size() == 1)
        ++m_race.accepted;
    if (!settles(answer->error()))
        wait(std::chrono::milliseconds(100));
    return settles(answer->error());
}

void RacingOperator::learnRevision()
{
    proto::OperatorRequest request;
    request.mutable_status();
    const auto answer = m_link.call(anyControl(), request, AnswerTimeout);
    if (answer && answer->status().confirmed())
        raise(m_race.revision, answer->status().revision());
}

std::size_t RacingOperator::anyControl()
{
    return std::uniform_int_distribution<std::size_t>(0, m_link.controls() - 1)(m_random);
}

void RacingOperator::wait(Duration time)
{
    // Blocks on an answer that never comes: threads of this program keep no other clock.
    std::mutex mutex;
    std::condition_variable never;
    std::unique_lock lock(mutex);
    never.wait_for(lock, time);
}

} // namespace gentianramp
