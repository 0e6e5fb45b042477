#include <gentianramp/engine/token_sequence.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

SseEvent token(const std::string &id)
{
    return {id, "", "{}"};
}

} // namespace

Test(TokenSequence, DeliversEachTokenOnceAndInOrder)
{
    TokenSequence sequence;
    cr_assert(sequence.take(token("1")) == TokenEventKind::Next);
    cr_assert(sequence.take(token("1")) == TokenEventKind::Repeat);
    cr_assert(sequence.take(token("3")) == TokenEventKind::Gap);
    cr_assert(sequence.take(token("2")) == TokenEventKind::Next);
    cr_assert(sequence.take({"", "", "[DONE]"}) == TokenEventKind::Done);
    cr_assert_eq(sequence.delivered(), 2U);
}

Test(TokenSequence, ContinuesAfterTheDeliveredTokens)
{
    TokenSequence sequence(7);
    cr_assert(sequence.take(token("7")) == TokenEventKind::Repeat);
    cr_assert(sequence.take(token("8")) == TokenEventKind::Next);
}

Test(TokenSequence, EventsWithoutOffsetAreMalformed)
{
    TokenSequence sequence;
    for (const char *id : {"", "0", "-1", "1x", "99999999999"})
        cr_assert(sequence.take(token(id)) == TokenEventKind::Malformed, "%s", id);
}
