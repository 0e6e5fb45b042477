#include <gentianramp/http/address.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;

Test(HttpAddress, ParsesHostAndPort)
{
    cr_assert(parseHttpAddress("10.0.0.1:8080") == (HttpAddress{"10.0.0.1", 8080}));
}

Test(HttpAddress, RejectsInvalidAddresses)
{
    for (const char *text : {"", ":", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0",
                             "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:80x", "10.0.0.1: 80"})
        cr_expect_not(parseHttpAddress(text).has_value(), "%s", text);
}
