#include <gentianramp/registry/listing_history.hpp>
#include <random>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

ListedServer server(const std::string &id, std::uint32_t warmUpLeftMs = 0)
{
    return {.id = BackendId(id),
            .service = "desk",
            .host = "10.0.0.1",
            .port = 80,
            .warmUpLeftMs = warmUpLeftMs};
}

BackendListing listing(const std::vector<ListedServer> &servers)
{
    return {listingDigest(servers), TimePoint{}, servers};
}

} // namespace

Test(listing_history, returnsChangesSinceStoredListing)
{
    ListingHistory history;
    const BackendListing first = listing({server("c"), server("a"), server("b")});
    history.add(first);
    history.add(listing({server("a"), server("c", 500), server("d")}));
    const ListingChange change = history.since(first.digest);
    cr_assert_eq(change.baseDigest, first.digest);
    cr_assert(change.changed == (std::vector{server("c", 500), server("d")}));
    cr_assert(change.removed == std::vector{BackendId("b")});
}

Test(listing_history, returnsFullListingForUnknownDigest)
{
    ListingHistory history;
    history.add(listing({server("a")}));
    cr_assert_eq(history.since(0).baseDigest, 0U);
    cr_assert_eq(history.since(4711).baseDigest, 0U);
    cr_assert_eq(history.since(4711).changed.size(), 1U);
}

Test(listing_history, remainingWarmUpTimeIsNotAChange)
{
    ListingHistory history;
    const BackendListing first = listing({server("a", 900), server("b")});
    history.add(first);
    history.add(listing({server("a", 300), server("b"), server("c")}));
    cr_assert(history.since(first.digest).changed == std::vector{server("c")});
}

Test(listing_history, firstOfTwoServersWithTheSameIdIsKept)
{
    ListedServer other = server("a");
    other.service = "bay";
    ListingHistory history;
    history.add(listing({server("a"), other}));
    cr_assert(history.sorted() == std::vector{server("a")});
}

Test(listing_history, changesFromEachStoredListingYieldTheNewest)
{
    // In each round, some servers of the fleet are added, removed or changed.
    std::mt19937_64 random(12);
    ListingHistory history;
    std::deque<std::pair<std::uint64_t, std::vector<ListedServer>>> known;
    for (int round = 0; round < 300; ++round) {
        std::vector<ListedServer> servers;
        for (int number = 0; number < 40; ++number) {
            if (random() % 8 != 0)
                servers.push_back(server("i-" + std::to_string(number), random() % 20 == 0));
        }
        history.add(listing(servers));
        known.emplace_back(history.newest().digest, history.sorted());
        if (known.size() > 5)
            known.pop_front();
        for (const auto &[digest, servers] : known) {
            const ListingChange change = history.since(digest);
            cr_assert_eq(change.baseDigest, digest);
            cr_assert(applyChange(servers, change) == history.sorted());
        }
    }
}

Test(listing_history, newestListingKeepsThePlatformsOrder)
{
    ListingHistory history;
    history.add(listing({server("c"), server("a")}));
    cr_assert(history.newest().servers == (std::vector{server("c"), server("a")}));
}
