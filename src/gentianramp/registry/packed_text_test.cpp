#include <gentianramp/registry/packed_text.hpp>

#include <random>

#include <criterion/criterion.h>

using namespace gentianramp;

Test(packed_text, unpackingRestoresTheText)
{
    std::string text;
    for (int route = 0; route < 400; ++route)
        text += R"({"Name":"r-)" + std::to_string(route)
            + R"(","Host":"a.example","Timeout":3000},)";
    const std::string packed = packText(text);
    cr_assert_lt(packed.size(), text.size() / 5);
    cr_assert_eq(unpackText(packed).value(), text);
    cr_assert_eq(unpackText(packText("")).value(), "");
}

Test(packed_text, damageIsDetected)
{
    const std::string packed = packText(std::string(5000, 'x') + "end");
    cr_assert_not(unpackText(""));
    cr_assert_not(unpackText(packed.substr(0, packed.size() - 3)));
    std::string huge = packed;
    huge[7] = 127;
    cr_assert_eq(unpackText(huge).error(), make_error_code(Error::TooLarge));
    for (unsigned seed = 1; seed <= 300; ++seed) {
        std::mt19937 random(seed);
        std::string damaged = packed;
        damaged[random() % damaged.size()] ^= static_cast<char>(1 + random() % 255);
        if (const auto read = unpackText(damaged))
            cr_assert_leq(read->size(), 16U * 1024 * 1024);
    }
}
