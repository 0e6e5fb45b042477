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

// A configuration that was cut off by a zero byte was acknowledged, and what followed was ignored.
Test(BoundedJson, RefusesWhatFollowsTheValueAndFieldsThatAreSetTwice)
{
    const std::string value = R"({"a":{"b":1,"c":[{"b":2}]},"b":3})";
    cr_assert(readJson(value));
    cr_assert(readJson(value + " \n\t"));
    for (const std::string &rest : {std::string("}"), std::string("{}"), std::string(1, '\0'),
                                    std::string("\0{}", 3), std::string(",")})
        cr_assert_not(readJson(value + rest));
    JsonLimits unique{8, 1000, true};
    cr_assert(readJson(value, unique));
    cr_assert(readJson(R"([{"a":1},{"a":1},{"a":{"a":{}},"b":[{"a":0}]}])", unique));
    for (const char *twice :
         {R"({"a":1,"a":1})", R"({"a":{"b":1,"b":2}})", R"([{"a":[{"b":{},"c":1,"b":{}}]}])"})
        cr_assert_not(readJson(twice, unique), "%s", twice);
    cr_assert(readJson(R"({"a":1,"a":1})"));
}

Test(BoundedJson, ErrorsNeverShowTheText)
{
    for (const char *text : {R"(["secret)", R"({"a":secret})", R"(["secret" "secret"])"})
        cr_assert_eq(readJson(text).message().find("secret"), std::string::npos, "%s", text);
}
