#include <gentianramp/relay/event_assembler.hpp>

#include <random>

#include <criterion/criterion.h>

using namespace gentianramp;

Test(event_assembler, returnsOnlyWholeEvents)
{
    EventAssembler events;
    cr_assert_eq(events.feed("id: 1\ndata: a\n"), "");
    cr_assert(events.hasPartial());
    cr_assert_eq(events.feed("\nid: 2\nda"), "id: 1\ndata: a\n\n");
    cr_assert(events.lastId() == 1U);
    cr_assert_eq(events.feed("ta: b\r\n\r\n"), "id: 2\ndata: b\r\n\r\n");
    cr_assert(events.lastId() == 2U);
    cr_assert_not(events.hasPartial());
}

Test(event_assembler, skipsEventsThatWereDelivered)
{
    EventAssembler events(2);
    cr_assert_eq(events.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"),
                 "id: 3\ndata: c\n\n");
    cr_assert(events.lastId() == 3U);
}

Test(event_assembler, bytesAreUnchangedHoweverTheyAreSplit)
{
    std::string stream;
    for (int id = 1; id <= 40; ++id)
        stream
            += "id: " + std::to_string(id) + "\nversion: 3\ndata: " + std::string(id, 'x') + "\n\n";
    for (unsigned seed = 1; seed <= 50; ++seed) {
        std::mt19937 random(seed);
        EventAssembler events;
        std::string out;
        for (std::size_t at = 0; at < stream.size();) {
            const std::size_t length = 1 + random() % 30;
            out += events.feed(std::string_view(stream).substr(at, length));
            at += length;
        }
        cr_assert_eq(out, stream, "seed %u", seed);
        cr_assert(events.lastId() == 40U);
    }
}

Test(event_assembler, anEventAboveTheSizeBoundOverflows)
{
    EventAssembler events;
    const std::string piece(64 * 1024, 'x');
    for (int count = 0; count < 20 && !events.overflowed(); ++count)
        events.feed(piece);
    cr_assert(events.overflowed());
}

Test(event_assembler, bytesThatAreNoEventsEndTheStreamAfterTheLastEvent)
{
    const std::string event = "id: 1\ndata: a\n\n";
    for (const std::string garbage : {"nonsense\n", "no name: x\n\n", "\x01", "{\"a\": 1}",
                                      "HTTP/1.1 200 OK\r\n", "id: 2\n\r\r\n"}) {
        EventAssembler events;
        cr_assert_eq(events.feed(event + garbage), event, "%s", garbage.c_str());
        cr_assert(events.malformed(), "%s", garbage.c_str());
        cr_assert_eq(events.feed("\n\n" + event), "");
    }
}

Test(event_assembler, commentLinesAfterTheLastEventAreNoEvent)
{
    EventAssembler events;
    events.feed(": a\n\n");
    cr_assert_not(events.hasEvents());
    for (const char *piece : {"id: 1\nda", "ta\r", "\ndata:\n\n: b", "\n:\r", "\n"})
        events.feed(piece);
    cr_assert(events.hasEvents());
    cr_assert_not(events.insideEvent());
    cr_assert_eq(events.takePartial(), ": b\n:\r\n");
    EventAssembler cut;
    cut.feed("id: 1\n\n: b");
    cr_assert(cut.insideEvent());
}

Test(event_assembler, aLineIsCheckedAcrossItsPieces)
{
    EventAssembler events(std::nullopt);
    std::string whole;
    for (const char *piece :
         {"da", "ta", ":", " x y", "\r", "\n", "i", "d: 1\r", "\n\r", "\n", "da"})
        whole += events.feed(piece);
    cr_assert_not(events.malformed());
    cr_assert_eq(whole, "data: x y\r\nid: 1\r\n\r\n");
    events.feed("t a: x");
    cr_assert(events.malformed());
    EventAssembler carriageReturn(std::nullopt);
    carriageReturn.feed("data\r");
    cr_assert_not(carriageReturn.malformed());
    carriageReturn.feed("x");
    cr_assert(carriageReturn.malformed());
}
