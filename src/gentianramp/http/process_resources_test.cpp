#include <gentianramp/http/process_resources.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;

Test(ProcessResources, MemoryBoundsConnectionsWhereItIsShort)
{
    constexpr std::size_t megabyte = 1024UL * 1024;
    const ProcessResources ample{512 * megabyte, 1000};
    cr_assert_eq(ample.requestBytes(), 128 * megabyte);
    cr_assert_eq(ample.connections(0.5), 500U);
    const ProcessResources little{96 * megabyte, 4000};
    cr_assert_eq(little.connections(1.0), 1024U);
    cr_assert_eq(little.connections(0.0001), 8U);
}
