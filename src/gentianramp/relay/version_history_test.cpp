#include <gentianramp/relay/version_history.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

using Names = std::vector<std::string>;

TimePoint at(int ms)
{
    return TimePoint(std::chrono::seconds(900) + std::chrono::milliseconds(ms));
}

BackendListing listing(const Names &versions, int readMs)
{
    BackendListing result{.digest = 1, .takenAt = at(readMs)};
    for (const std::string &version : versions) {
        result.servers.push_back({.id = BackendId("i-" + version), .service = "lm"});
        result.servers.back().softwareVersion = version;
    }
    return result;
}

VersionHistory makeHistory()
{
    VersionHistory history(std::chrono::seconds(3));
    history.setStreamLifetime(std::chrono::seconds(10));
    history.publish(listing({"v1"}, 0), at(0));
    return history;
}

} // namespace

Test(version_history, aNewVersionBeginsNoStreamsUntilAllInstancesKnowIt)
{
    VersionHistory history = makeHistory();
    history.publish(listing({"v1", "v2"}, 20'000), at(20'400));
    cr_assert(history.recent("lm", at(20'400)) == (Names{"v1", "v2"}));
    cr_assert(history.mayHaveBegun("lm", at(20'400)) == Names{"v1"});
    cr_assert_not(history.isSettled("lm", "v2", at(22'900)));
    cr_assert(history.mayHaveBegun("lm", at(22'900)) == (Names{"v1", "v2"}));
    cr_assert(history.isSettled("lm", "v2", at(23'000)));
    cr_assert(history.isSettled("lm", "v1", at(20'400)));
}

Test(version_history, remembersAVersionForAsLongAsItsStreamsMayLast)
{
    VersionHistory history = makeHistory();
    history.publish(listing({"v2"}, 20'000), at(20'000));
    cr_assert(history.recent("lm", at(29'900)) == (Names{"v1", "v2"}));
    cr_assert(history.recent("lm", at(30'100)) == Names{"v2"});
    // It comes back: versions have no order.
    history.publish(listing({"v1", "v2"}, 40'000), at(40'000));
    cr_assert_not(history.isSettled("lm", "v1", at(40'000)));
}

Test(version_history, isCompleteOnceItIsOlderThanAnyStream)
{
    const VersionHistory history = makeHistory();
    cr_assert_not(history.isComplete(at(9900)));
    cr_assert(history.isComplete(at(10'000)));
    cr_assert_not(VersionHistory(std::chrono::seconds(3)).isComplete(at(10'000)));
}

Test(version_history, aVersionThatStandsAloneIsUsedAtOnce)
{
    VersionHistory history(std::chrono::seconds(3));
    history.publish(listing({"v1", "v2"}, 0), at(0));
    cr_assert(history.isSettled("lm", "v2", at(0)), "nothing tells which one is new");
    cr_assert(history.isSettled("other", "v1", at(0)));
}

namespace {

VersionReport reportOf(std::vector<ListedVersion> versions)
{
    return {.knownFor = std::chrono::seconds(60), .versions = std::move(versions)};
}

VersionHistory restartedHistory()
{
    VersionHistory history(std::chrono::seconds(3));
    history.setStreamLifetime(std::chrono::seconds(10));
    history.publish(listing({"v1", "v2"}, 0), at(0));
    return history;
}

constexpr Duration Minute = std::chrono::seconds(60);

} // namespace

Test(version_history, startsCompleteWithWhatARegistryInstanceSaw)
{
    VersionHistory history = restartedHistory();
    history.add(reportOf({{"lm", "v0", Minute, std::chrono::seconds(4)},
                          {"lm", "v1", Minute, std::nullopt},
                          {"lm", "v2", Minute, std::nullopt}}),
                at(0));
    cr_assert(history.isComplete(at(0)));
    cr_assert(history.mayHaveBegun("lm", at(0)) == (Names{"v0", "v1", "v2"}));
    cr_assert(history.mayHaveBegun("lm", at(6100)) == (Names{"v1", "v2"}));
}

// Restarted instances take both versions for settled, so that streams begin at a version that other
// instances do not know yet.
Test(version_history, learnsWhichVersionIsNew)
{
    VersionHistory history = restartedHistory();
    cr_assert(history.isSettled("lm", "v2", at(0)));
    history.add(reportOf({{"lm", "v1", Minute, std::nullopt},
                          {"lm", "v2", std::chrono::seconds(1), std::nullopt}}),
                at(0));
    cr_assert(history.isSettled("lm", "v1", at(0)));
    cr_assert_not(history.isSettled("lm", "v2", at(1900)));
    cr_assert(history.isSettled("lm", "v2", at(2000)));
    // Restarted instances of an older build may have begun streams there.
    cr_assert(history.mayHaveBegun("lm", at(0)) == (Names{"v1", "v2"}));
}

// The lifetime of streams may become known only after the report, from the first declaration.
Test(version_history, keepsReportedVersionsForALifetimeThatGrows)
{
    VersionHistory history = restartedHistory();
    history.add(reportOf({{"lm", "v0", Minute, std::chrono::seconds(15)},
                          {"lm", "v1", Minute, std::nullopt},
                          {"lm", "v2", Minute, std::nullopt}}),
                at(0));
    history.publish(listing({"v1", "v2"}, 500), at(500));
    cr_assert(history.recent("lm", at(500)) == (Names{"v1", "v2"}));
    history.setStreamLifetime(std::chrono::seconds(20));
    cr_assert(history.recent("lm", at(500)) == (Names{"v0", "v1", "v2"}));
}

// A report of a registry instance that lags behind the listing revives or ends a version.
Test(version_history, isNotOverruledByAReport)
{
    VersionHistory history = makeHistory();
    history.publish(listing({"v2"}, 20'000), at(20'000));
    history.add(reportOf({{"lm", "v1", Minute, std::nullopt},
                          {"lm", "v2", Minute, std::chrono::seconds(30)}}),
                at(21'000));
    cr_assert(history.recent("lm", at(29'900)) == (Names{"v1", "v2"}));
    cr_assert(history.recent("lm", at(30'100)) == Names{"v2"});
}

// A registry instance that has just restarted knows no more than the entry instance.
Test(version_history, staysIncompleteWithAShortReport)
{
    VersionHistory history = restartedHistory();
    history.add({.knownFor = std::chrono::seconds(4), .versions = {}}, at(0));
    cr_assert_not(history.isComplete(at(5900)));
    cr_assert(history.isComplete(at(6000)));
    VersionHistory empty(std::chrono::seconds(3));
    empty.add(reportOf({}), at(0));
    cr_assert_not(empty.isComplete(at(60'000)), "no listing was received");
}
