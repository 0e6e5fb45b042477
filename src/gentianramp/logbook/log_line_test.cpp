#include <gentianramp/logbook/log_line.hpp>
#include <random>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

constexpr std::string_view Line = R"(time_ms=1787 mono_ms=99 level=W event=send_failed request=a1 )"
                                  R"(error="connection \"lost\"" after_ms=-3 route="")";

} // namespace

Test(LogLine, ReadsFieldsAndQuotedValues)
{
    const auto line = parseLogLine(Line, "entry-1");
    cr_assert(line.has_value());
    cr_assert_eq(line->process, "entry-1");
    cr_assert_eq(line->timeMs, 1787);
    cr_assert_eq(line->event, "send_failed");
    cr_assert_eq(line->field("error"), "connection \"lost\"");
    cr_assert_eq(line->field("route"), "");
    cr_assert(line->number("after_ms") == -3);
    cr_assert_not(line->number("request").has_value());
    cr_assert_eq(line->fields.size(), 4U);
}

Test(LogLine, ProcessNameIsTakenFromTheCollectorsPrefix)
{
    const auto line = parseLogLine("  13.0914 edge-2 " + std::string(Line), "file");
    cr_assert(line.has_value());
    cr_assert_eq(line->process, "edge-2");
}

Test(LogLine, RejectsLinesWithoutAValidTimeAndEvent)
{
    for (const char *text : {"", "time_ms=", "time_ms=x event=start", "time_ms=5 level=I",
                             "core dumped", "event=start", "time_ms=\"5", "time_ms=5 event=\""})
        cr_expect_not(parseLogLine(text, "p").has_value(), "%s", text);
}

Test(LogLine, CorruptedLinesAreRejectedOrHaveAnEvent)
{
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 20'000; ++round) {
        std::string text(Line.substr(0, random() % (Line.size() + 1)));
        if (!text.empty())
            text[random() % text.size()] = static_cast<char>(random());
        const auto line = parseLogLine(text, "p");
        if (line)
            cr_assert_not(line->event.empty());
    }
}
