#include "log_buffer.hpp"

#include <algorithm>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

TimePoint at(int ms)
{
    return TimePoint(std::chrono::seconds(100) + std::chrono::milliseconds(ms));
}

} // namespace

Test(log_buffer, fullReaderNeverBlocksAndDropsAreTold)
{
    std::string written;
    bool takes = false;
    LogBuffer buffer({.linesPerSecond = 1000, .burst = 1000, .bufferBytes = 100},
                     [&](std::string_view bytes) -> std::size_t {
                         if (!takes)
                             return 0;
                         written += bytes;
                         return bytes.size();
                     });
    for (int line = 0; line < 20; ++line)
        buffer.add("line number " + std::to_string(line) + "\n", at(line));
    cr_assert_gt(buffer.dropped(), 0U);
    takes = true;
    buffer.flush();
    cr_assert(written.starts_with("line number 0\n"));
    buffer.add("after\n", at(2000));
    buffer.flush();
    cr_assert_neq(written.find("event=log_lines_dropped count="), std::string::npos);
    cr_assert(written.ends_with("after\n"));
}

Test(log_buffer, rateIsBounded)
{
    std::size_t lines = 0;
    LogBuffer buffer(
        {.linesPerSecond = 10, .burst = 5, .bufferBytes = 1 << 20}, [&](std::string_view bytes) {
            lines += static_cast<std::size_t>(std::count(bytes.begin(), bytes.end(), '\n'));
            return bytes.size();
        });
    for (int ms = 0; ms < 1000; ++ms)
        buffer.add("x\n", at(ms));
    buffer.flush();
    cr_assert_leq(lines, 5U + 10U + 15U);
    cr_assert_geq(buffer.dropped(), 980U);
}
