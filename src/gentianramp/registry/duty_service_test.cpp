#include "duty_service.hpp"

#include "gentianramp/ledger/generated/ledger.pb.h"
#include "voter_simulation.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;
using gentianramp::testing::VoterSimulation;

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr Duration Step = milliseconds(2);
/// Time that a majority needs to confirm the leader.
constexpr Duration ConfirmationTime = milliseconds(10);

/// The duties of the leader of three voters, on the paused clock of the runtime.
class LeadingDuties
{
public:
    LeadingDuties()
    {
        RuntimeClock::pause();
        voters.advanceTo(RuntimeClock::now());
        voters.onMessage = [this](const std::string &payload) { noteConfirmation(payload); };
        RegistryOptions options;
        options.firstStart = true;
        options.successorOrderDelay = {};
        options.callDuty
            = [](DutyCall, std::uint64_t, MayStartHook) -> asio::awaitable<DutyAnswer> {
            co_return DutyAnswer::Done;
        };
        options.usage = UsageReporterOptions{.window = milliseconds(1), .lateness = {}};
        options.encodeUsage = [](std::uint64_t, const UsageCounts &) { return "report"; };
        DutyServiceHooks hooks;
        hooks.ledger = [this] { return voters.leader(); };
        hooks.confirmLeadership = [this]() -> asio::awaitable<bool> {
            co_await sleepFor(ConfirmationTime / 2);
            bool confirmed = false;
            voters.leader()->readNewest(
                [&](const std::optional<RawDeclaration> &newest) {
                    confirmed = newest.has_value();
                },
                RuntimeClock::now());
            co_await sleepFor(ConfirmationTime / 2);
            co_return confirmed;
        };
        hooks.listing = [] { return BackendListing(); };
        hooks.loads = [] { return LoadReports(); };
        hooks.platformIsReachedElsewhere = [](TimePoint) { return false; };
        duties = std::make_shared<DutyService>(m_context.get_executor(), options, hooks);
        asio::co_spawn(m_context, duties->run(), asio::detached);
    }

    ~LeadingDuties()
    {
        duties->stop();
        RuntimeClock::resume();
    }

    void run(Duration time)
    {
        for (Duration passed{}; passed < time; passed += Step) {
            RuntimeClock::advance(Step);
            voters.advanceTo(RuntimeClock::now());
            m_context.restart();
            // Timers look at a paused clock once a millisecond of real time.
            m_context.run_for(milliseconds(2));
        }
    }

    VoterSimulation voters;
    std::shared_ptr<DutyService> duties;
    std::uint32_t oldestAnswerMs = 0; ///< Greatest age of an answer in a confirmation.

private:
    void noteConfirmation(const std::string &payload)
    {
        proto::LedgerMessage message;
        cr_assert(message.ParseFromString(payload));
        if (message.append_request().has_confirmation())
            oldestAnswerMs
                = std::max(oldestAnswerMs, message.append_request().confirmation().answered_ms());
    }

    asio::io_context m_context;
};

} // namespace

// A leader that took its duties over proposed the first usage record with the time from before the
// confirmation that it had waited for, so that its followers dated their own weeks ahead.
Test(duty_service, usageIsRecordedAtThePresentAfterAWaitForTheMajority)
{
    LeadingDuties leading;
    for (int tries = 0; tries < 100 && !leading.voters.leader(); ++tries)
        leading.run(milliseconds(100));
    cr_assert_not_null(leading.voters.leader());
    leading.run(milliseconds(500));
    leading.duties->noteLeadership(true, Term(1), RuntimeClock::now());
    leading.run(milliseconds(2000));
    cr_assert(leading.voters.leader()->committedUsage().has_value());
    cr_assert_leq(leading.oldestAnswerMs, 5000U);
}
