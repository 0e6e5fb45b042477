#include <gentianramp/core/bounded_json.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

constexpr JsonLimits Limits{4, 1000};

std::string arrayOf(int count)
{
    std::string text = "[0";
    for (int value = 1; value < count; ++value)
        text += ",0";
    return text + "]";
}

} // namespace

Test(BoundedJson, ReadsWhatIsWithinTheLimits)
{
    cr_assert(parseBoundedJson(R"({"a":[[1]],"b":"c"})", Limits).at("b") == "c");
    cr_assert_eq(parseBoundedJson(arrayOf(900), Limits).size(), 900U);
}

Test(BoundedJson, DiscardsWhatIsMalformedOrBeyondTheLimits)
{
    for (const std::string &text : {std::string("{\"a\":"), std::string(1024 * 1024, '['),
                                    std::string("[[[[[[1]]]]]]"), arrayOf(1100)})
        cr_assert(parseBoundedJson(text, Limits).is_discarded());
}
