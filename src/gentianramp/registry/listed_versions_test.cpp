#include <gentianramp/registry/listed_versions.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

using std::chrono::milliseconds;

TimePoint at(int ms)
{
    return TimePoint(std::chrono::seconds(900) + milliseconds(ms));
}

BackendListing listing(const std::vector<std::string> &versions, int readMs)
{
    BackendListing result{.digest = 1, .takenAt = at(readMs), .servers = {}};
    for (const std::string &version : versions) {
        result.servers.push_back({.id = BackendId("i-" + version), .service = "lm"});
        result.servers.back().softwareVersion = version;
    }
    return result;
}

/// Notes the listing every second from @p fromMs until before @p untilMs.
void noteEachSecond(ListedVersions &history, const std::vector<std::string> &versions, int fromMs,
                    int untilMs)
{
    for (int ms = fromMs; ms < untilMs; ms += 1000)
        history.note(listing(versions, ms));
}

} // namespace

Test(listed_versions, reportsWhenEachVersionWasListed)
{
    ListedVersions history;
    noteEachSecond(history, {"v1"}, 0, 10'000);
    noteEachSecond(history, {"v1", "v2"}, 10'000, 20'000);
    noteEachSecond(history, {"v2"}, 20'000, 31'000);
    const std::optional<VersionReport> report = history.report(at(30'500));
    cr_assert(report);
    cr_assert_eq(report->knownFor, milliseconds(30'500));
    const std::vector<ListedVersion> expected{
        {"lm", "v1", milliseconds(30'500), milliseconds(10'500)},
        {"lm", "v2", milliseconds(20'500), std::nullopt}};
    cr_assert(report->versions == expected);
}

// A registry instance that did not reach the platform for a while vouches for versions that it has
// not seen.
Test(listed_versions, knowsNothingFromBeforeAGapOfItsListings)
{
    ListedVersions history;
    noteEachSecond(history, {"v1"}, 0, 20'000);
    cr_assert_not(history.report(at(22'500)));
    history.note(listing({"v2"}, 30'000));
    const std::optional<VersionReport> report = history.report(at(30'100));
    cr_assert(report);
    cr_assert_eq(report->knownFor, milliseconds(100));
    cr_assert_eq(report->versions.size(), 2U);
}

Test(listed_versions, knowsNothingBeforeItsFirstListing)
{
    ListedVersions history;
    cr_assert_not(history.report(at(0)));
    history.note(listing({}, 0));
    cr_assert_not(history.report(at(0)));
}

// Restarted entry instances begin streams at a version that came back a moment ago, which others do
// not know yet.
Test(listed_versions, aVersionThatComesBackIsNew)
{
    ListedVersions history;
    noteEachSecond(history, {"v1", "v2"}, 0, 10'000);
    noteEachSecond(history, {"v1"}, 10'000, 60'000);
    noteEachSecond(history, {"v1", "v2"}, 60'000, 62'000);
    const std::optional<VersionReport> report = history.report(at(62'000));
    cr_assert(report);
    const std::vector<ListedVersion> expected{{"lm", "v1", milliseconds(62'000), std::nullopt},
                                              {"lm", "v2", milliseconds(2000), std::nullopt}};
    cr_assert(report->versions == expected);
}

// The memory of a registry instance grows with each software version that was ever listed.
Test(listed_versions, isBounded)
{
    ListedVersions history;
    int ms = 0;
    for (int number = 0; number < 2000; ++number, ms += 1000)
        history.note(listing({"v" + std::to_string(number)}, ms));
    const std::optional<VersionReport> report = history.report(at(ms));
    cr_assert(report);
    cr_assert_leq(report->versions.size(), 602U);
    cr_assert_eq(report->knownFor, std::chrono::minutes(10));

    std::vector<std::string> many;
    many.reserve(5000);
    for (int number = 0; number < 5000; ++number)
        many.push_back("w" + std::to_string(number));
    history.note(listing(many, ms));
    cr_assert_not(history.report(at(ms)), "what was forgotten makes the rest incomplete");
}
