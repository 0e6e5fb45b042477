#include <gentianramp/registry/seat_assignment.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

using std::chrono::milliseconds;

SeatClaim claim(const char *instance, const char *site, const char *seat, std::uint64_t folder,
                int silenceMs = 100)
{
    return {InstanceId(instance), DataCentreId(site), seat, folder, milliseconds(silenceMs)};
}

const std::vector<SeatView> Seats{{"seat-1", 11}, {"seat-2", 12}, {"seat-3", 13}};

} // namespace

Test(seat_assignment, nothingChangesWhileAllAreFilled)
{
    const std::vector<SeatClaim> claims{claim("a", "x", "seat-1", 11),
                                        claim("b", "y", "seat-2", 12),
                                        claim("c", "z", "seat-3", 13), claim("d", "z", "", 0)};
    cr_assert(assignSeats(Seats, claims, {}) == SeatChanges{});
}

Test(seat_assignment, newInstanceFillsTheSeatOfASilentOne)
{
    const std::vector<SeatClaim> claims{
        claim("a", "x", "seat-1", 11), claim("b", "y", "seat-2", 12),
        claim("c", "z", "seat-3", 13, 2500), claim("d", "z", "", 0)};
    const SeatChanges changes = assignSeats(Seats, claims, {});
    cr_assert_eq(changes.offers.size(), 1U);
    cr_assert(changes.offers.front() == (SeatChange{InstanceId("d"), "seat-3"}));
    cr_assert(changes.releases.empty());
}

Test(seat_assignment, instanceThatLostItsFolderGetsItsSeatBack)
{
    const std::vector<SeatClaim> claims{claim("a", "x", "seat-1", 11),
                                        claim("b", "y", "seat-2", 12), claim("d", "x", "", 0),
                                        claim("c", "z", "", 0)};
    const SeatChanges changes = assignSeats(Seats, claims, {{"seat-3", InstanceId("c")}});
    cr_assert(changes.offers.front() == (SeatChange{InstanceId("c"), "seat-3"}));
    cr_assert_eq(changes.offers.size(), 1U);
}

Test(seat_assignment, replacedInstanceReleasesItsSeat)
{
    // c was cut off, d took its seat and its folder was admitted; then c came back.
    const std::vector<SeatView> seats{{"seat-1", 11}, {"seat-2", 12}, {"seat-3", 14}};
    const std::vector<SeatClaim> claims{
        claim("a", "x", "seat-1", 11), claim("b", "y", "seat-2", 12), claim("c", "z", "seat-3", 13),
        claim("d", "z", "seat-3", 14)};
    const SeatChanges changes = assignSeats(seats, claims, {});
    cr_assert(changes.offers.empty());
    cr_assert_eq(changes.releases.size(), 1U);
    cr_assert(changes.releases.front() == (SeatChange{InstanceId("c"), "seat-3"}));
    cr_assert_eq(holderOf(seats[2], claims)->instance, InstanceId("d"));
}

Test(seat_assignment, emptySeatsSpreadOverDataCentres)
{
    const std::vector<SeatView> seats{
        {"seat-1", 11}, {"seat-2", 12}, {"seat-3", 13}, {"seat-4", 0}, {"seat-5", 0}};
    const std::vector<SeatClaim> claims{
        claim("a", "x", "seat-1", 11), claim("b", "x", "seat-2", 12), claim("c", "y", "seat-3", 13),
        claim("d", "y", "", 0),        claim("e", "z", "", 0),        claim("f", "z", "", 0)};
    const SeatChanges changes = assignSeats(seats, claims, {});
    cr_assert_eq(changes.offers.size(), 2U);
    cr_assert_eq(changes.offers[0].instance, InstanceId("e"));
    cr_assert_neq(changes.offers[1].instance, InstanceId("e"));
}

Test(seat_assignment, silentCandidateIsOfferedNothing)
{
    const std::vector<SeatClaim> claims{
        claim("a", "x", "seat-1", 11), claim("b", "y", "seat-2", 12), claim("d", "z", "", 0, 1500)};
    cr_assert(assignSeats(Seats, claims, {}).offers.empty());
}

Test(seat_assignment, aSilentHolderGivesWayToTheInstanceThatGotItsSeat)
{
    // A machine was replaced; its claim is remembered for a minute, and the new folder is admitted
    // only once messages of the seat reach it.
    const std::vector<SeatClaim> claims{claim("gone", "x", "seat-1", 11, 5000),
                                        claim("new", "x", "seat-1", 19)};
    cr_assert_eq(holderOf(Seats[0], claims)->instance, InstanceId("new"));
}

Test(seat_assignment, theAdmittedHolderCountsWhileItIsHeard)
{
    const std::vector<SeatClaim> claims{claim("admitted", "x", "seat-1", 11, 900),
                                        claim("other", "x", "seat-1", 19)};
    cr_assert_eq(holderOf(Seats[0], claims)->instance, InstanceId("admitted"));
    const std::vector<SeatClaim> alone{claims.front()};
    cr_assert_eq(holderOf({"seat-1", 99}, alone)->instance, InstanceId("admitted"));
}
