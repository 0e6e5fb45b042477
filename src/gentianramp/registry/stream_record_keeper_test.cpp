#include <gentianramp/registry/stream_record_keeper.hpp>

#include "gentianramp/registry/generated/stream_origin.pb.h"

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

TimePoint at(int ms)
{
    return TimePoint(std::chrono::seconds(900) + std::chrono::milliseconds(ms));
}

std::string record(const std::string &attempt, const std::string &version, std::uint32_t lifetimeMs)
{
    proto::PeerMessage message;
    message.mutable_record()->set_attempt(attempt);
    message.mutable_record()->set_service("lm");
    message.mutable_record()->set_version(version);
    message.mutable_record()->set_lifetime_ms(lifetimeMs);
    return message.SerializeAsString();
}

proto::StreamEvidence ask(StreamRecordKeeper &keeper, const std::string &attempt, TimePoint now)
{
    proto::PeerMessage message;
    message.mutable_question()->set_call(7);
    message.mutable_question()->set_attempt(attempt);
    message.mutable_question()->set_service("lm");
    const std::optional<std::string> answer = keeper.onMessage(message.SerializeAsString(), now);
    cr_assert(answer);
    proto::PeerMessage answered;
    cr_assert(answered.ParseFromString(*answer));
    cr_assert_eq(answered.evidence().call(), 7U);
    return answered.evidence();
}

} // namespace

Test(stream_record_keeper, answersWithTheRecordForItsLifetime)
{
    StreamRecordKeeper keeper;
    cr_assert_not(keeper.onMessage(record("a", "v1", 20'000), at(0)));
    cr_assert_eq(ask(keeper, "a", at(20'000)).recorded().version(), "v1");
    cr_assert_not(ask(keeper, "a", at(20'001)).has_recorded());
}

// An entry instance takes a registry instance that knows nothing for evidence of other versions.
Test(stream_record_keeper, saysNothingOfVersionsWithoutARecord)
{
    StreamRecordKeeper keeper;
    const proto::StreamEvidence evidence = ask(keeper, "a", at(0));
    cr_assert_not(evidence.has_recorded());
    cr_assert_eq(evidence.versions_size(), 0);
    cr_assert_not(evidence.complete());
}

// Streams of a large system fill the memory of a registry instance.
Test(stream_record_keeper, isBounded)
{
    StreamRecordKeeper keeper;
    for (int number = 0; number < 30'000; ++number)
        keeper.onMessage(record(std::to_string(number), "v1", 4'000'000'000U), at(0));
    cr_assert_leq(keeper.size(), 20'000U);
    keeper.onMessage(record("b", "v1", 0), at(601'000));
    cr_assert_eq(keeper.size(), 1U, "no record is kept for more than ten minutes");
}

Test(stream_record_keeper, ignoresUnreadableMessages)
{
    StreamRecordKeeper keeper;
    cr_assert_not(keeper.onMessage("\xff\xff\xff", at(0)));
    cr_assert_not(keeper.onMessage("", at(0)));
}
