#include <cstdlib>
#include <gentianramp/ledger/configuration_delta.hpp>
#include <gentianramp/ledger/configuration_store.hpp>
#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

ConfigurationProposal proposal(const std::string &command, std::uint64_t base,
                               const std::string &configuration)
{
    return {.command = CommandId(command), .base = Revision(base), .configuration = configuration};
}

CommandAnswer applyTo(ConfigurationStore &store, const ConfigurationProposal &change)
{
    return store.apply(store.encodeCommand(change));
}

} // namespace

Test(ConfigurationStore, SecondCommandOnTheSameBaseConflicts)
{
    ConfigurationStore store;
    const std::string rival = store.encodeCommand(proposal("rival", 0, "two"));
    const CommandAnswer won = applyTo(store, proposal("winner", 0, "one"));
    cr_assert(won.outcome == CommandOutcome::Accepted);
    cr_assert(won.revision == Revision(1));
    const CommandAnswer lost = store.apply(rival);
    cr_assert(lost.outcome == CommandOutcome::Conflict);
    cr_assert(lost.current == Revision(1));
    cr_assert_eq(store.configuration(), "one");
}

Test(ConfigurationStore, ResendGetsTheFirstAnswerAfterASnapshot)
{
    ConfigurationStore store;
    const ConfigurationProposal first = proposal("first", 0, "one");
    const CommandAnswer answer = applyTo(store, first);
    applyTo(store, proposal("second", 1, "two"));
    ConfigurationStore restored;
    cr_assert_not(restored.restore(store.snapshot()));
    cr_assert(restored.remembered(first) == answer);
    cr_assert(applyTo(restored, first) == answer);
    cr_assert_eq(restored.configuration(), "two");
}

Test(ConfigurationStore, ReusedCommandIdIsRefused)
{
    ConfigurationStore store;
    applyTo(store, proposal("same", 0, "one"));
    const CommandAnswer answer = applyTo(store, proposal("same", 1, "two"));
    cr_assert(answer.outcome == CommandOutcome::CommandReused);
    cr_assert_eq(store.configuration(), "one");
}

Test(ConfigurationStore, DiscardedCommandIsRefusedAsExpired)
{
    ConfigurationStore store({.results = 3});
    const ConfigurationProposal first = proposal("c0", 0, "configuration 0");
    applyTo(store, first);
    for (std::uint64_t base = 1; base <= 5; ++base)
        applyTo(store, proposal("c" + std::to_string(base), base, std::to_string(base)));
    cr_assert(store.remembered(first)->outcome == CommandOutcome::CommandExpired);
    cr_assert(applyTo(store, first).outcome == CommandOutcome::CommandExpired);
    cr_assert(store.revision() == Revision(6));
    const CommandAnswer next = applyTo(store, proposal("next", 6, "next"));
    cr_assert(next.outcome == CommandOutcome::Accepted);
}

Test(ConfigurationStore, ReturnsRetainedEarlierRevisions)
{
    ConfigurationStore store({.revisions = 4});
    for (std::uint64_t base = 0; base < 10; ++base)
        applyTo(store, proposal("c" + std::to_string(base), base, std::to_string(base * 1000)));
    cr_assert_eq(store.configurationAt(Revision(10)).value(), "9000");
    cr_assert_eq(store.configurationAt(Revision(7)).value(), "6000");
    cr_assert(store.configurationAt(Revision(2)).error() == Error::Unavailable);
    cr_assert(store.configurationAt(Revision(11)).error() == Error::Unavailable);
    cr_assert_eq(store.history().size(), 4);
}

Test(ConfigurationStore, MalformedSnapshotIsRefused)
{
    ConfigurationStore store;
    applyTo(store, proposal("first", 0, "one"));
    cr_assert(store.restore("\xff\xff\xff") == Error::Malformed);
    cr_assert(store.revision() == Revision(1));
}

Test(ConfigurationDelta, TransformsArbitraryBytes)
{
    setenv("RC_PARAMS", "seed=20261203", 1);
    cr_assert(rc::check("round trip", [](const std::string &from, const std::string &to) {
        RC_ASSERT(applyDelta(from, makeDelta(from, to)).value() == to);
    }));
    cr_assert(rc::check("wrong base", [](const std::string &from, const std::string &to) {
        const Result<std::string> result = applyDelta(from + "x", makeDelta(from, to));
        RC_ASSERT(!result || result.value() == to);
    }));
}

Test(ConfigurationDelta, CarriesOnlyTheChange)
{
    const std::string from(100000, 'a');
    std::string to = from;
    to[50000] = 'b';
    cr_assert_leq(makeDelta(from, to).ByteSizeLong(), 32);
}
