#include <gentianramp/registry/member_directory.hpp>

#include <algorithm>
#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

TimePoint at(int seconds)
{
    return TimePoint(std::chrono::seconds(1000 + seconds));
}

const InstanceId A("a:1");
const InstanceId B("b:1");
const InstanceId C("c:1");

} // namespace

Test(member_directory, learnsMembersFromReports)
{
    MemberDirectory directory(A);
    directory.setSeeds({A, B});
    cr_assert(directory.contacts() == std::vector<InstanceId>{B});
    directory.recordReport(C, DataCentreId("z"), std::chrono::seconds(1), at(0));
    cr_assert(directory.contacts() == (std::vector<InstanceId>{B, C}));
    // Only reported members have no known state.
    cr_assert(directory.peerStatuses(at(0)).empty());
    directory.expire(at(120));
    cr_assert(directory.contacts() == std::vector<InstanceId>{B});
}

Test(member_directory, reportsDoNotRetainAReplacedMember)
{
    MemberDirectory directory(A);
    for (int second = 0; second < 200; ++second) {
        directory.recordReport(C, DataCentreId("z"), std::chrono::seconds(second), at(second));
        directory.expire(at(second));
    }
    cr_assert(directory.contacts().empty());
}

Test(member_directory, leaderOfTheHighestTermIsReturned)
{
    MemberDirectory directory(A);
    directory.recordContact(B, {.seat = "seat-1", .leads = true, .term = 4}, at(0));
    directory.recordContact(C, {.seat = "seat-2", .leads = true, .term = 5}, at(0));
    cr_assert(directory.leader(at(1)) == C);
    directory.recordContact(B, {.seat = "seat-1", .leads = true, .term = 4}, at(3));
    cr_assert(directory.leader(at(3)) == B);
    cr_assert_not(directory.leader(at(9)).has_value());
}

Test(member_directory, countsEntryProcessesOfRecentlyHeardMembers)
{
    MemberDirectory directory(A);
    directory.recordContact(B, {.entryProcessCount = 4}, at(0));
    directory.recordContact(C, {.entryProcessCount = 3}, at(0));
    cr_assert_eq(directory.entryProcessesElsewhere(at(1)), 7U);
    directory.recordContact(C, {.entryProcessCount = 3}, at(5));
    cr_assert_eq(directory.entryProcessesElsewhere(at(6)), 3U);
}

// A process heard the leader, while the connection for its own messages to the leader was silent
// until its heartbeats failed 4 s later.
Test(member_directory, silentConnectionIsReplacedWhenThePeerDoesNotHear)
{
    using std::chrono::milliseconds;
    MemberDirectory directory(A);
    directory.recordContact(B, {.seat = "seat-1"}, at(0));
    cr_assert_not(directory.recordEcho(B, milliseconds(300), at(5)));
    cr_assert(directory.recordEcho(B, milliseconds(1300), at(6)));
    // The new connection is given the same time.
    cr_assert_not(directory.recordEcho(B, milliseconds(1600), at(6) + milliseconds(300)));
    cr_assert(directory.recordEcho(B, milliseconds(2600), at(8)));
}

Test(member_directory, connectionIsKeptUntilANewMemberHadTimeToHear)
{
    MemberDirectory directory(A);
    directory.recordContact(B, {.seat = "seat-1"}, at(0));
    cr_assert_not(directory.recordEcho(B, std::chrono::hours(1), at(1)));
}

// A process that had lost its disk was heard for 4 s while offers of a seat to it went to a
// connection that did not open; the next loss of a disk left one voter of three.
Test(member_directory, aMemberThatDoesNotHearIsAnsweredOnItsOwnConnection)
{
    using std::chrono::milliseconds;
    MemberDirectory directory(A);
    directory.recordReturnRoute(B, "unknown", std::nullopt);
    directory.recordContact(B, {.seat = "seat-1"}, at(0));
    cr_assert(directory.returnRoute(B, at(0)).empty());
    directory.recordReturnRoute(B, "first", std::nullopt);
    cr_assert_eq(directory.returnRoute(B, at(0)), "first");
    directory.recordReturnRoute(B, "second", milliseconds(1300));
    cr_assert_eq(directory.returnRoute(B, at(1)), "second");
    cr_assert(directory.returnRoute(B, at(2)).empty(), "its connection may be closed");
    directory.recordReturnRoute(B, "third", milliseconds(200));
    cr_assert(directory.returnRoute(B, at(0)).empty());
}

Test(member_directory, anAnswerDoesNotShowThatTheConnectionOfItsSenderWorks)
{
    MemberDirectory directory(A);
    directory.recordContact(B, {.seat = "seat-1"}, at(0));
    directory.recordContact(B, {.seat = "seat-2"}, at(3), false);
    cr_assert_eq(directory.peerStatuses(at(3)).front().seat, "seat-2");
    cr_assert(directory.peerStatuses(at(3)).front().contactAge == Duration::zero());
    cr_assert(directory.known(at(3)).front().directContactAge == std::chrono::seconds(3));
}

Test(member_directory, reportsDoNotCountAsDirectContact)
{
    MemberDirectory directory(A);
    directory.recordContact(B, {.seat = "seat-1"}, at(0));
    directory.recordReport(B, DataCentreId("z"), std::chrono::seconds(1), at(9));
    cr_assert(directory.known(at(9)).front().contactAge == std::chrono::seconds(1));
    cr_assert(directory.known(at(9)).front().directContactAge == std::chrono::seconds(9));
}

Test(member_directory, memberJoinsAtItsFirstContactAndAfterASilence)
{
    MemberDirectory directory(A);
    cr_assert_not(directory.lastJoinedAt().has_value());
    directory.recordContact(B, {}, at(0));
    directory.recordContact(B, {}, at(1));
    cr_assert(directory.lastJoinedAt() == at(0));
    directory.recordContact(B, {}, at(3));
    cr_assert(directory.lastJoinedAt() == at(3));
    directory.recordReport(C, DataCentreId("z"), std::chrono::seconds(0), at(4));
    cr_assert(directory.lastJoinedAt() == at(3));
}

// Connections that went silent in both directions stayed in use until their heartbeats ended them.
Test(member_directory, connectionToASilentMemberIsReplacedAtIntervals)
{
    MemberDirectory directory(A);
    directory.recordReport(C, DataCentreId("z"), std::chrono::seconds(0), at(0));
    directory.recordContact(B, {}, at(0));
    cr_assert(directory.takeSilentMembers(at(1)).empty());
    cr_assert(directory.takeSilentMembers(at(2)) == std::vector<InstanceId>{B});
    cr_assert(directory.takeSilentMembers(at(3)).empty());
    cr_assert(directory.takeSilentMembers(at(4)) == std::vector<InstanceId>{B});
    directory.recordContact(B, {}, at(5));
    cr_assert(directory.takeSilentMembers(at(6)).empty());
}
