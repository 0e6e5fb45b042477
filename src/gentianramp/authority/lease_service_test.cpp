#include <gentianramp/authority/lease_member.hpp>
#include <gentianramp/authority/lease_messages.hpp>
#include <gentianramp/authority/lease_service.hpp>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{1h};
const DataCentreId Site("a");

Ballot ballot(std::uint64_t round, const std::string &instance = "a1")
{
    return {.round = round, .instance = InstanceId(instance), .incarnation = Incarnation(1)};
}

std::vector<LeaseMessage> oneMessageOfEachKind()
{
    return {{Site, LeasePrepare{ballot(1)}},
            {Site,
             LeasePromise{ballot(1),
                          LeaseReply::Ok,
                          {},
                          LeaseGrant{ballot(2), FencingNumber(3), 4s},
                          FencingNumber(5)}},
            {Site, LeasePropose{ballot(1), FencingNumber(2), 3s}},
            {Site, LeaseAccepted{ballot(1), LeaseReply::Overtaken, ballot(2)}},
            {Site, LeaseRelease{ballot(1)}}};
}

/// A lease group of a single control process, which is a quorum by itself.
struct SingleProcessFixture
{
    SingleProcessFixture()
        : service(
            {.self = InstanceId("a1"),
             .dataCentre = Site,
             .incarnation = Incarnation(1),
             .instances = {{InstanceId("a1"), Site}}},
            [](const InstanceId &, const std::string &) {}, Now)
    { }

    void runUntil(TimePoint end)
    {
        for (; now <= end; now += 20ms)
            service.tick(now);
    }

    TimePoint now = Now;
    LeaseService service;
};

} // namespace

Test(LeaseCodec, EveryMessageIsUnchangedByEncodingAndDecoding)
{
    for (const LeaseMessage &message : oneMessageOfEachKind()) {
        const auto decoded = decodeLeaseMessage(encodeLeaseMessage(message));
        cr_assert(static_cast<bool>(decoded));
        cr_assert(*decoded == message);
    }
    cr_assert_not(static_cast<bool>(decodeLeaseMessage("")));
}

// A grant of any length that a message named blocked the lease for as long.
Test(LeaseCodec, LengthsThatCannotBeAreMalformed)
{
    for (const Duration length : {Duration(-1ns), Duration(2h), Duration::max(), Duration::min()}) {
        cr_expect_not(static_cast<bool>(decodeLeaseMessage(
            encodeLeaseMessage({Site, LeasePropose{ballot(1), FencingNumber(2), length}}))));
        cr_expect_not(static_cast<bool>(decodeLeaseMessage(
            encodeLeaseMessage({Site,
                                LeasePromise{ballot(1),
                                             LeaseReply::Ok,
                                             {},
                                             LeaseGrant{ballot(2), FencingNumber(3), length},
                                             FencingNumber(5)}}))));
    }
}

// A grant that was given with an earlier time ended before its holder let go.
Test(LeaseService, AnEarlierTimeDoesNotShortenAGrant)
{
    std::vector<LeaseMessage> sent;
    LeaseService service(
        {.self = InstanceId("a1"),
         .dataCentre = Site,
         .incarnation = Incarnation(1),
         .instances
         = {{InstanceId("a1"), Site}, {InstanceId("a2"), Site}, {InstanceId("a3"), Site}}},
        [&](const InstanceId &, const std::string &payload) {
            sent.push_back(decodeLeaseMessage(payload).value());
        },
        Now);
    service.tick(Now + 10s);
    const auto deliver = [&](const char *from, const LeaseBody &body, TimePoint now) {
        service.onMessage(InstanceId(from), encodeLeaseMessage({Site, body}), now);
    };
    deliver("a2", LeasePropose{ballot(100, "a2"), FencingNumber(5), 3s}, Now + 9s);
    deliver("a3", LeasePrepare{ballot(101, "a3")}, Now + 12500ms);
    const auto *promise = std::get_if<LeasePromise>(&sent.back().body);
    cr_assert_not_null(promise);
    cr_assert(promise->grant.has_value());
    cr_assert(promise->grant->remaining == Duration(500ms));
}

Test(LeaseCodec, DecoderSurvivesCorruptedMessagesAndRejectsSome)
{
    std::mt19937_64 random(1);
    int refused = 0;
    for (int run = 0; run < 5000; ++run) {
        const auto messages = oneMessageOfEachKind();
        std::string bytes = encodeLeaseMessage(messages[random() % messages.size()]);
        bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(random() % (bytes.size() + 1));
        if (!decodeLeaseMessage(bytes))
            ++refused;
    }
    cr_assert_gt(refused, 0);
}

Test(LeaseMember, GrantsNothingUntilEarlierLeasesHaveExpired)
{
    LeaseMember member(Now + 3s);
    cr_assert_eq(member.onPrepare({ballot(1)}, Now + 2s).reply, LeaseReply::Restarted);
    cr_assert_eq(member.onPropose({ballot(1), FencingNumber(1), 3s}, Now + 2s).reply,
                 LeaseReply::Restarted);
    cr_assert_eq(member.onPrepare({ballot(1)}, Now + 3s).reply, LeaseReply::Ok);
}

Test(LeaseMember, KeepsTheFencingNumberOfAnExpiredLease)
{
    LeaseMember member(Now);
    member.onPropose({ballot(1), FencingNumber(7), 3s}, Now);
    cr_assert(member.onPrepare({ballot(2)}, Now + 1s).grant.has_value());
    const LeasePromise later = member.onPrepare({ballot(3)}, Now + 4s);
    cr_assert_not(later.grant.has_value());
    cr_assert_eq(later.highestFencing, FencingNumber(7));
}

Test(LeaseMember, ReleaseOfAnEarlierGrantChangesNothing)
{
    LeaseMember member(Now);
    member.onPropose({ballot(1), FencingNumber(1), 3s}, Now);
    member.onPropose({ballot(2), FencingNumber(1), 3s}, Now);
    member.onRelease({ballot(1)});
    cr_assert(member.onPrepare({ballot(3)}, Now).grant.has_value());
    member.onRelease({ballot(2)});
    cr_assert_not(member.onPrepare({ballot(4)}, Now).grant.has_value());
}

Test(LeaseService, AcquiresTheLeaseAfterTheStartDelayAndKeepsTheNumberOnRenewal)
{
    SingleProcessFixture fixture;
    fixture.runUntil(Now + 2900ms);
    cr_assert_not(fixture.service.held(fixture.now).has_value());
    fixture.runUntil(Now + 4s);
    const auto lease = fixture.service.held(fixture.now);
    cr_assert(lease.has_value());
    fixture.runUntil(Now + 10s);
    cr_assert_eq(fixture.service.held(fixture.now)->fencing, lease->fencing);
    cr_assert_eq(fixture.service.held(fixture.now)->acquiredAt, lease->acquiredAt);
}

Test(LeaseService, LeaseIsNotHeldAfterAPauseBeyondItsLength)
{
    SingleProcessFixture fixture;
    fixture.runUntil(Now + 4s);
    cr_assert(fixture.service.held(fixture.now).has_value());
    cr_assert_not(fixture.service.held(fixture.now + 3s).has_value());
}

Test(LeaseService, RaisedFencingStartsANewBlockAboveTheNumber)
{
    SingleProcessFixture fixture;
    fixture.runUntil(Now + 4s);
    fixture.service.raiseFencing(FencingNumber(5 * FencingBlockSize + 41), fixture.now);
    cr_assert_not(fixture.service.held(fixture.now).has_value());
    fixture.runUntil(Now + 5s);
    cr_assert_eq(fixture.service.held(fixture.now)->fencing, FencingNumber(6 * FencingBlockSize));
}

Test(LeaseService, ReleaseEndsTheLeaseAtOnceAndItIsNotReacquired)
{
    SingleProcessFixture fixture;
    fixture.runUntil(Now + 4s);
    fixture.service.release(fixture.now, fixture.now + 500ms);
    cr_assert_not(fixture.service.held(fixture.now).has_value());
    fixture.runUntil(Now + 12s);
    cr_assert_not(fixture.service.held(fixture.now).has_value());
}
