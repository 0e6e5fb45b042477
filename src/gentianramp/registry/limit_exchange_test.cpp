#include <gentianramp/registry/limit_exchange.hpp>

#include "registry_codec.hpp"

#include <algorithm>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};
const InstanceId First("first");
const InstanceId Second("second");
const BackendId Server("server");

RequestLimit limit(std::optional<double> perSecond, TimePoint statedAt, std::int64_t startedAt = 1)
{
    return {.server = Server,
            .startedAtMs = startedAt,
            .service = "s",
            .perSecond = perSecond,
            .statedAt = statedAt};
}

LimitReports report(const InstanceId &entry, const std::vector<RequestLimit> &limits, TimePoint at)
{
    return {.limits = limits,
            .demands = {{entry, {.perSecond = {{"s", 5}}, .holdings = {}, .reportedAt = at}}}};
}

} // namespace

Test(limit_exchange, whatOneProcessIsToldReachesAllThroughTheLeader)
{
    LimitExchange follower;
    LimitExchange leader;
    cr_assert(follower.reports(Start) == LimitReports());
    follower.merge(report(First, {limit(4, Start)}, Start), Start);
    follower.merge(report(Second, {}, Start), Start);
    leader.merge(follower.reports(Start + 100ms), Start + 100ms);
    const LimitTable table = leader.grant(1, Start + 200ms);
    cr_assert_eq(table.grants.size(), 2U);
    follower.publish(table);
    for (const InstanceId &entry : {First, Second}) {
        const auto part = follower.tableFor(entry, Start + 300ms);
        cr_assert_eq(part->limits.size(), 1U);
        cr_assert_eq(part->grants.size(), 1U);
        cr_assert(part->grants[0].instance == entry);
    }
}

// Entry processes that no server had told of its limit were granted nothing.
Test(limit_exchange, demandsReachTheLeaderFromProcessesThatWereToldOfNoLimit)
{
    LimitExchange follower;
    LimitExchange leader;
    leader.merge(report(First, {limit(4, Start)}, Start), Start);
    follower.publish(leader.grant(1, Start));
    follower.merge(report(Second, {}, Start), Start);
    leader.merge(follower.reports(Start), Start);
    const LimitTable table = leader.grant(1, Start + 200ms);
    cr_assert(std::any_of(table.grants.begin(), table.grants.end(),
                          [](const LimitGrant &grant) { return grant.instance == Second; }));
}

Test(limit_exchange, theNewestStatementCountsInAnyOrder)
{
    for (const bool endFirst : {false, true}) {
        LimitExchange exchange;
        const LimitReports named = report(First, {limit(4, Start)}, Start);
        const LimitReports ended = report(First, {limit(std::nullopt, Start + 1s)}, Start + 1s);
        exchange.merge(endFirst ? ended : named, Start + 1s);
        exchange.merge(endFirst ? named : ended, Start + 1s);
        cr_assert_not(exchange.limitOf(Server).has_value());
        // The end is passed on, so that those who know the limit drop it.
        cr_assert_eq(exchange.grant(1, Start + 2s).limits.size(), 1U);
        cr_assert(exchange.grant(1, Start + 2s).grants.empty());
        cr_assert(exchange.grant(1, Start + 20s).limits.empty());
    }
}

Test(limit_exchange, theLimitOfAnEarlierIncarnationDoesNotCountForTheNext)
{
    LimitExchange exchange;
    exchange.merge(report(First, {limit(4, Start, 1)}, Start), Start);
    exchange.merge(report(First, {limit(8, Start + 1s, 2)}, Start + 1s), Start + 1s);
    cr_assert_eq(*exchange.limitOf(Server), 8.0);
}

Test(limit_exchange, aProcessThatIsNoLongerHeardIsGrantedNothing)
{
    LimitExchange leader;
    leader.merge(report(First, {limit(4, Start)}, Start), Start);
    leader.merge(report(Second, {limit(4, Start)}, Start), Start);
    cr_assert_eq(leader.grant(1, Start).grants.size(), 2U);
    leader.merge(report(First, {limit(4, Start + 4s)}, Start + 4s), Start + 4s);
    const LimitTable table = leader.grant(1, Start + 4s);
    cr_assert_eq(table.grants.size(), 1U);
    cr_assert(table.grants[0].instance == First);
}

Test(limit_exchange, anOldTableIsNotPassedOn)
{
    LimitExchange exchange;
    exchange.merge(report(First, {limit(4, Start)}, Start), Start);
    exchange.grant(2, Start);
    cr_assert(exchange.tableFor(First, Start + 1s).has_value());
    cr_assert_not(exchange.tableFor(First, Start + 3s).has_value());
    // Neither does the table of an earlier leader replace the newest one.
    exchange.publish({.term = 1, .grantedAt = Start + 1s, .limits = {}, .grants = {}});
    cr_assert(exchange.tableFor(First, Start + 1s).has_value());
}

Test(limit_exchange, messagesKeepReportsAndTables)
{
    const LimitHolding holding{Server, 1, 7, 3, 1.5};
    LimitReports reports = report(First, {limit(4, Start), limit(std::nullopt, Start, 2)}, Start);
    reports.demands[First].holdings = {holding};
    cr_assert(fromProto(toProto(reports, Start + 1s), Start + 1s) == reports);
    const LimitTable table{.term = 3,
                           .grantedAt = Start,
                           .limits = {limit(2, Start, 1), limit(4, Start, 2)},
                           .grants = {{Server, 2, First, 7, 3}}};
    cr_assert(fromProto(toProto(table, Start + 1s), Start + 1s) == table);
    proto::FeedRequest request;
    addToProto(reports.limits, reports.demands[First], request, Start);
    cr_assert(limitReports(request, First, Start) == reports);
}

Test(limit_exchange, grantsOfLimitsThatATableLacksAreIgnored)
{
    proto::LimitTable message = toProto(LimitTable{.term = 1, .grantedAt = Start}, Start);
    message.add_grants()->set_limit(5);
    cr_assert(fromProto(message, Start).grants.empty());
}
