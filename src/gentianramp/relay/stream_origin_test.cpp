#include <gentianramp/relay/stream_origin.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

using Names = std::vector<std::string>;

TimePoint at(int ms)
{
    return TimePoint(std::chrono::seconds(900) + std::chrono::milliseconds(ms));
}

OriginEvidence knows(Names versions, bool complete = true, bool fresh = true)
{
    return {
        .recorded = {}, .versions = std::move(versions), .isComplete = complete, .isFresh = fresh};
}

OriginEvidence recorded(const std::string &version)
{
    OriginEvidence evidence = knows({"v1", "v2"});
    evidence.recorded = StreamOrigin{"lm", version};
    return evidence;
}

std::string versionOf(const OriginDecision &decision)
{
    return decision.origin ? decision.origin->version : "refused";
}

} // namespace

Test(stream_origin, goesOnAtTheRecordedVersion)
{
    const std::vector<OriginEvidence> others{knows({"v1", "v2"}), recorded("v2")};
    cr_assert_eq(versionOf(decideOrigin("lm", knows({"v1"}), others)), "v2");
    cr_assert_eq(versionOf(decideOrigin("lm", recorded("v1"), {})), "v1");
}

Test(stream_origin, isRefusedWhenItIsNotKnownWhichOfTwoVersionsBeganIt)
{
    const std::vector<OriginEvidence> others{knows({"v1", "v2"})};
    cr_assert_eq(versionOf(decideOrigin("lm", knows({"v1", "v2"}), others)), "refused");
    cr_assert_eq(versionOf(decideOrigin("lm", knows({"v1"}), others)), "refused");
    cr_assert_eq(versionOf(decideOrigin("lm", recorded("v1"), std::vector{recorded("v2")})),
                 "refused");
    // The server may have restarted with other software as it began the stream.
    cr_assert_eq(versionOf(decideOrigin("lm", recorded(""), {})), "refused");
}

Test(stream_origin, anInstanceThatIsCutOffTrustsNoOldListing)
{
    cr_assert_eq(versionOf(decideOrigin("lm", knows({"v1"}, true, false), {})), "refused");
    cr_assert_not(hasOneVersion(knows({"v1"}, true, false)));
    const std::vector<OriginEvidence> others{knows({"v1"}, true, false)};
    cr_assert_eq(versionOf(decideOrigin("lm", knows({"v1"}, true, false), others)), "v1");
}

Test(stream_origin, anInstanceThatHasRestartedAsksOthersForEarlierVersions)
{
    const OriginEvidence own = knows({"v1"}, false);
    cr_assert_not(hasOneVersion(own));
    cr_assert_eq(versionOf(decideOrigin("lm", own, {})), "refused");
    cr_assert_eq(versionOf(decideOrigin("lm", own, std::vector{knows({"v1"})})), "v1");
    cr_assert_eq(versionOf(decideOrigin("lm", own, std::vector{knows({"v0", "v1"})})), "refused");
    cr_assert_eq(versionOf(decideOrigin("lm", own, std::vector{knows({"v1"}, false)})), "refused");
}

Test(stream_origin, aServiceWithoutNamedVersionsHasOne)
{
    const OriginDecision decision = decideOrigin("lm", knows({""}), {});
    cr_assert(decision.origin == (StreamOrigin{"lm", ""}));
    cr_assert_eq(versionOf(decideOrigin("lm", knows({"", "v1"}), {})), "refused");
}

Test(stream_origin, recordsEndAndAreBounded)
{
    StreamRecords records;
    records.setLifetime(std::chrono::seconds(10));
    records.note("a", {"lm", "v1"}, at(0));
    cr_assert(records.find("a", at(10'000)) == (StreamOrigin{"lm", "v1"}));
    cr_assert_not(records.find("a", at(10'001)));
    for (int number = 0; number < 30'000; ++number)
        records.note(std::to_string(number), {"lm", "v1"}, at(11'000));
    cr_assert_leq(records.size(), 20'000U);
    records.note("b", {"lm", "v1"}, at(22'000));
    cr_assert_eq(records.size(), 1U);
}

// A registry instance that restarted takes part in the decision as if it had seen streams begin.
Test(stream_origin, aRegistryInstanceCountsByItsRecordAlone)
{
    cr_assert_not(recordAlone(knows({"v1"})));
    const std::optional<OriginEvidence> record = recordAlone(recorded("v2"));
    cr_assert(record);
    cr_assert(record->versions.empty());
    cr_assert_not(record->isComplete);
    cr_assert_eq(versionOf(decideOrigin("lm", knows({"v1", "v2"}), std::vector{*record})), "v2");
    cr_assert_eq(versionOf(decideOrigin("lm", recorded("v1"), std::vector{*record})), "refused");
}
