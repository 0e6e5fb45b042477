#include <gentianramp/registry/seat_assignment.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

using std::chrono::milliseconds;

PeerStatus peer(const char *instance, const char *site, const char *seat, std::uint64_t folderId,
                int silenceMs = 100)
{
    return {InstanceId(instance), DataCentreId(site), seat, folderId, milliseconds(silenceMs)};
}

const std::vector<LedgerSeat> Seats{{"seat-1", 11}, {"seat-2", 12}, {"seat-3", 13}};

} // namespace

Test(seat_assignment, nothingChangesWhileAllSeatsAreFilled)
{
    const std::vector<PeerStatus> peers{peer("a", "x", "seat-1", 11), peer("b", "y", "seat-2", 12),
                                        peer("c", "z", "seat-3", 13), peer("d", "z", "", 0)};
    cr_assert(assignSeats(Seats, peers, {}) == SeatChanges{});
}

Test(seat_assignment, unseatedInstanceIsOfferedTheSeatOfASilentHolder)
{
    const std::vector<PeerStatus> peers{peer("a", "x", "seat-1", 11), peer("b", "y", "seat-2", 12),
                                        peer("c", "z", "seat-3", 13, 2500), peer("d", "z", "", 0)};
    const SeatChanges changes = assignSeats(Seats, peers, {});
    cr_assert_eq(changes.offers.size(), 1U);
    cr_assert(changes.offers.front() == (SeatChange{InstanceId("d"), "seat-3"}));
    cr_assert(changes.releases.empty());
}

Test(seat_assignment, instanceThatLostItsFolderIsOfferedItsFormerSeat)
{
    const std::vector<PeerStatus> peers{peer("a", "x", "seat-1", 11), peer("b", "y", "seat-2", 12),
                                        peer("d", "x", "", 0), peer("c", "z", "", 0)};
    const SeatChanges changes = assignSeats(Seats, peers, {{"seat-3", InstanceId("c")}});
    cr_assert(changes.offers.front() == (SeatChange{InstanceId("c"), "seat-3"}));
    cr_assert_eq(changes.offers.size(), 1U);
}

// A voter with a full disk was offered its own seat again and again, and the spare instance never.
Test(seat_assignment, instanceWhoseFolderCannotTakeASeatIsPassedOver)
{
    std::vector<PeerStatus> peers{peer("a", "x", "seat-1", 11), peer("b", "y", "seat-2", 12),
                                  peer("c", "z", "", 0), peer("d", "z", "", 0)};
    peers[2].takesSeat = false;
    const SeatChanges changes = assignSeats(Seats, peers, {{"seat-3", InstanceId("c")}});
    cr_assert_eq(changes.offers.size(), 1U);
    cr_assert(changes.offers.front() == (SeatChange{InstanceId("d"), "seat-3"}));
}

Test(seat_assignment, replacedInstanceReleasesItsSeat)
{
    // After c was partitioned off, d took its seat and the folder of d was admitted. Then c
    // returned.
    const std::vector<LedgerSeat> seats{{"seat-1", 11}, {"seat-2", 12}, {"seat-3", 14}};
    const std::vector<PeerStatus> peers{peer("a", "x", "seat-1", 11), peer("b", "y", "seat-2", 12),
                                        peer("c", "z", "seat-3", 13), peer("d", "z", "seat-3", 14)};
    const SeatChanges changes = assignSeats(seats, peers, {});
    cr_assert(changes.offers.empty());
    cr_assert_eq(changes.releases.size(), 1U);
    cr_assert(changes.releases.front() == (SeatChange{InstanceId("c"), "seat-3"}));
    cr_assert_eq(holderOf(seats[2], peers)->instance, InstanceId("d"));
}

Test(seat_assignment, emptySeatsSpreadOverDataCentres)
{
    const std::vector<LedgerSeat> seats{
        {"seat-1", 11}, {"seat-2", 12}, {"seat-3", 13}, {"seat-4", 0}, {"seat-5", 0}};
    const std::vector<PeerStatus> peers{peer("a", "x", "seat-1", 11), peer("b", "x", "seat-2", 12),
                                        peer("c", "y", "seat-3", 13), peer("d", "y", "", 0),
                                        peer("e", "z", "", 0),        peer("f", "z", "", 0)};
    const SeatChanges changes = assignSeats(seats, peers, {});
    cr_assert_eq(changes.offers.size(), 2U);
    cr_assert_eq(changes.offers[0].instance, InstanceId("e"));
    cr_assert_neq(changes.offers[1].instance, InstanceId("e"));
}

Test(seat_assignment, silentCandidateIsNotOfferedASeat)
{
    const std::vector<PeerStatus> peers{peer("a", "x", "seat-1", 11), peer("b", "y", "seat-2", 12),
                                        peer("d", "z", "", 0, 1500)};
    cr_assert(assignSeats(Seats, peers, {}).offers.empty());
}

Test(seat_assignment, newHolderIsAcceptedWhenTheAdmittedOneIsSilent)
{
    // An instance was replaced. Its status stays known for a minute, and the folder of the new
    // holder is admitted only once the new holder receives messages for the seat.
    const std::vector<PeerStatus> peers{peer("gone", "x", "seat-1", 11, 5000),
                                        peer("new", "x", "seat-1", 19)};
    cr_assert_eq(holderOf(Seats[0], peers)->instance, InstanceId("new"));
}

Test(seat_assignment, admittedHolderIsKeptWhileItIsHeard)
{
    const std::vector<PeerStatus> peers{peer("admitted", "x", "seat-1", 11, 900),
                                        peer("other", "x", "seat-1", 19)};
    cr_assert_eq(holderOf(Seats[0], peers)->instance, InstanceId("admitted"));
    const std::vector<PeerStatus> alone{peers.front()};
    cr_assert_eq(holderOf({"seat-1", 99}, alone)->instance, InstanceId("admitted"));
}
