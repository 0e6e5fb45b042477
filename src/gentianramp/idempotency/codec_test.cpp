#include <gentianramp/idempotency/codec.hpp>
#include <gentianramp/idempotency/key_time.hpp>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

const KeyScope Scope{CustomerId("c"), ServiceId("bay"), IdempotencyKey("hliny/1")};
const Ballot SomeBallot{7, InstanceId("e1"), Incarnation(3)};
const ClaimRecord Record{{InstanceId("e1"), Incarnation(3), 9},
                         2,
                         "digest",
                         ClaimState::Complete,
                         {200, "text/plain", std::string("a\0b", 3), false}};

std::vector<KeyMessage> oneMessageOfEachKind()
{
    const MemberIncarnations incarnations{{InstanceId("e2"), Incarnation(4)}};
    return {KeyPrepare{Scope, SomeBallot},
            KeyPromise{Scope, SomeBallot, KeyReply::Ok, Incarnation(4), {}, SomeBallot, Record},
            KeyPromise{Scope, SomeBallot, KeyReply::Overtaken, Incarnation(4), SomeBallot, {}, {}},
            KeyAccept{Scope, SomeBallot, Record, incarnations},
            KeyAccepted{Scope, SomeBallot, KeyReply::Overloaded, Incarnation(4), {}, incarnations},
            KeyLearnRequest{Incarnation(5), std::nullopt},
            KeyLearnRequest{Incarnation(5), Scope},
            KeyLearnPage{
                Incarnation(5),
                Incarnation(6),
                Scope,
                {{Scope, SomeBallot, SomeBallot, Record}, {Scope, SomeBallot, {}, std::nullopt}},
                true,
                {InstanceId("e3")}},
            KeyClaimantQuery{5, Record.claim},
            KeyClaimantAnswer{5, Record.claim, true}};
}

} // namespace

Test(KeyCodec, RoundTripKeepsEveryField)
{
    for (const KeyMessage &message : oneMessageOfEachKind()) {
        const auto decoded = decodeKeyMessage(encodeKeyMessage(message));
        cr_assert(static_cast<bool>(decoded), "kind %zu", message.index());
        cr_assert(*decoded == message, "kind %zu", message.index());
    }
}

Test(KeyCodec, CorruptedMessagesAreRejectedOrDecodedWithoutACrash)
{
    std::mt19937_64 random(1);
    int rejected = 0;
    for (int run = 0; run < 5000; ++run) {
        const auto messages = oneMessageOfEachKind();
        std::string bytes = encodeKeyMessage(messages[random() % messages.size()]);
        bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(random() % (bytes.size() + 1));
        if (!decodeKeyMessage(bytes))
            ++rejected;
    }
    cr_assert_gt(rejected, 0);
    cr_assert_not(static_cast<bool>(decodeKeyMessage("")));
}

Test(KeyTime, ReadsOnlyUuidVersion7)
{
    cr_assert_eq(keyTimeMs(IdempotencyKey("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")), 1645557742000);
    cr_assert_eq(keyTimeMs(IdempotencyKey("a/017F22E2-79b0-7cc3-98c4-dc0c0c07398f")),
                 1645557742000);
    cr_assert_not(keyTimeMs(IdempotencyKey("017f22e2-79b0-4cc3-98c4-dc0c0c07398f")));
    cr_assert_not(keyTimeMs(IdempotencyKey("017f22e2-79b0-7cc3-98c4-dc0c0c07398")));
    cr_assert_not(keyTimeMs(IdempotencyKey("017f22e2x79b0-7cc3-98c4-dc0c0c07398f")));
    cr_assert_not(keyTimeMs(IdempotencyKey("")));
}
