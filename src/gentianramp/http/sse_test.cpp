#include <gentianramp/http/sse.hpp>

#include <random>
#include <vector>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

constexpr std::uint64_t Seed = 20261203;

std::vector<SseEvent> parseAll(SseParser &parser, std::string_view text)
{
    std::vector<SseEvent> events;
    parser.feed(text);
    while (auto event = parser.next())
        events.push_back(*event);
    return events;
}

std::string randomText(std::mt19937_64 &random, std::string_view alphabet, std::size_t maxLength)
{
    std::string text(std::uniform_int_distribution<std::size_t>(0, maxLength)(random), ' ');
    std::uniform_int_distribution<std::size_t> pick(0, alphabet.size() - 1);
    for (char &character : text)
        character = alphabet[pick(random)];
    return text;
}

std::vector<SseEvent> parseInPieces(std::mt19937_64 &random, std::string_view text)
{
    SseParser parser;
    std::vector<SseEvent> events;
    while (!text.empty()) {
        const std::size_t size = std::uniform_int_distribution<std::size_t>(
            1, std::min<std::size_t>(7, text.size()))(random);
        for (SseEvent &event : parseAll(parser, text.substr(0, size)))
            events.push_back(std::move(event));
        text.remove_prefix(size);
    }
    return events;
}

} // namespace

Test(Sse, JoinsDataLinesAndSkipsComments)
{
    SseParser parser;
    const auto events
        = parseAll(parser, ": hello\nid: 3\nevent: token\ndata: a\ndata:b\r\n\r\ndata\n\n");
    cr_assert_eq(events.size(), 2U);
    cr_assert(events[0] == (SseEvent{"3", "token", "a\nb"}));
    cr_assert(events[1] == (SseEvent{}));
}

Test(Sse, HoldsAPartialEventUntilItIsComplete)
{
    SseParser parser;
    cr_assert(parseAll(parser, "data: half").empty());
    cr_assert(parser.hasPartialEvent());
    cr_assert_eq(parseAll(parser, "\n\n").size(), 1U);
    cr_assert_not(parser.hasPartialEvent());
}

Test(Sse, FailsOnEventsOverTheSizeLimit)
{
    SseParser parser(100);
    parseAll(parser, std::string(101, 'x'));
    cr_assert(parser.error() == Error::TooLarge);
    SseParser lines(100);
    for (int line = 0; line < 20; ++line)
        parseAll(lines, "data: 0123456789\n");
    cr_assert(lines.error() == Error::TooLarge);
}

Test(Sse, RoundTripsForAnySplitOfTheInput)
{
    std::mt19937_64 random(Seed);
    for (int run = 0; run < 500; ++run) {
        std::vector<SseEvent> events;
        std::string text;
        for (int count = 0; count < 5; ++count) {
            SseEvent event{randomText(random, "0123456789", 6), randomText(random, "abc", 3),
                           randomText(random, "ab: \n{}\"", 30)};
            appendSse(text, event);
            events.push_back(std::move(event));
        }
        cr_assert(parseInPieces(random, text) == events);
    }
}

Test(Sse, ResultIsIndependentOfHowTheInputIsSplit)
{
    std::mt19937_64 random(Seed + 1);
    for (int run = 0; run < 1000; ++run) {
        const std::string text = randomText(random, "id: data\r\n\nevent:\0x", 200);
        SseParser parser;
        cr_assert(parseAll(parser, text) == parseInPieces(random, text));
    }
}
