#include <gentianramp/core/digest.hpp>
#include <gentianramp/declaration/customer_keys.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;

// A key in another form than the declared one must be unknown rather than match a part of it.
Test(customer_keys, readsTheKeyOfABearerScheme)
{
    cr_assert(bearerKey("Bearer abc") == "abc");
    cr_assert(bearerKey("bEARER  abc") == "abc");
    cr_assert(bearerKey("Bearer a b") == "a b");
    for (const char *malformed : {"", "Bearer", "Bearer ", "Bearer   ", "Basic abc", "abc",
                                  "Bearers abc", "Bear abc", " Bearer abc"})
        cr_assert(bearerKey(malformed).empty(), "%s", malformed);
}

Test(customer_keys, findsTheCustomerOfAKeyOrOfItsDigest)
{
    CustomerKeys keys;
    keys.add("first", 0);
    keys.addDigest(sha256Hex({"second"}), 1);
    cr_assert(keys.find("first") == 0U);
    cr_assert(keys.find("second") == 1U);
    for (const char *unknown : {"", "First", "firs", "first ", "third"})
        cr_assert_not(keys.find(unknown).has_value(), "%s", unknown);
}

Test(customer_keys, findsOneOfManyAndOfLongKeys)
{
    CustomerKeys keys;
    for (std::size_t customer = 0; customer < 10'000; ++customer)
        keys.add("key-" + std::to_string(customer), customer);
    keys.add(std::string(4096, 'k'), 10'000);
    cr_assert(keys.find("key-9999") == 9'999U);
    cr_assert(keys.find(std::string(4096, 'k')) == 10'000U);
    cr_assert_not(keys.find(std::string(4095, 'k')).has_value());
}
