#include "declared_configuration_file.hpp"
#include "test_files.hpp"

#include <array>
#include <gentianramp/config/configuration_codec.hpp>
#include <gentianramp/config/settings_file.hpp>
#include <random>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

using Generator = std::mt19937_64;

constexpr int YamlRounds = 3000;
constexpr int ByteRounds = 20000;
constexpr std::size_t MaxEditCount = 6;

std::size_t randomBelow(Generator &random, std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

/// Replaces, inserts, removes or copies random pieces of @p text.
std::string mutate(std::string text, Generator &random)
{
    static constexpr std::array<std::string_view, 14> pieces{
        "\n", ": ",  "- ", "[",  "]",      "{", "}",
        "\"", "&a ", "*a", "\t", "!!int ", "%", "99999999999"};
    const std::size_t edits = 1 + randomBelow(random, MaxEditCount);
    for (std::size_t edit = 0; edit < edits && !text.empty(); ++edit) {
        const std::size_t at = randomBelow(random, text.size());
        const std::size_t length = 1 + randomBelow(random, 12);
        switch (randomBelow(random, 4)) {
        case 0:
            text[at] = static_cast<char>(randomBelow(random, 256));
            break;
        case 1:
            text.insert(at, pieces[randomBelow(random, pieces.size())]);
            break;
        case 2:
            text.erase(at, length);
            break;
        default:
            text.insert(randomBelow(random, text.size()), text.substr(at, length));
        }
    }
    return text;
}

/// Asserts that a result is valid, or empty with errors.
void assertValidOrEmpty(const Validated<DeclaredConfiguration> &loaded)
{
    if (loaded) {
        cr_assert(validateConfiguration(*loaded).empty());
        cr_assert(*decodeConfiguration(encodeConfiguration(*loaded)) == *loaded);
        return;
    }
    cr_assert(*loaded == DeclaredConfiguration{});
    cr_assert_not(loaded.message().empty());
}

} // namespace

Test(ParserRandom, MutatedYamlIsLoadedWholeOrRefused)
{
    Generator random(20261203);
    int refused = 0;
    for (int round = 0; round < YamlRounds; ++round) {
        const bool mutateBase = round % 2 == 0;
        const auto loaded = parseDeclaredConfiguration(
            {"base.yaml", mutateBase ? mutate(ValidBase, random) : ValidBase},
            {{"north.yaml", mutateBase ? ValidOverlay : mutate(ValidOverlay, random)}});
        refused += loaded ? 0 : 1;
        assertValidOrEmpty(loaded);
    }
    cr_assert_gt(refused, YamlRounds / 2);
}

Test(ParserRandom, MutatedBytesAreCanonicalOrRefused)
{
    Generator random(7);
    const auto loaded
        = parseDeclaredConfiguration({"base.yaml", ValidBase}, {{"north.yaml", ValidOverlay}});
    const std::string bytes = encodeConfiguration(*loaded);
    for (int round = 0; round < ByteRounds; ++round) {
        const std::string changed = mutate(bytes, random);
        const auto decoded = decodeConfiguration(changed);
        if (decoded)
            cr_assert(encodeConfiguration(*decoded) == changed);
        else
            cr_assert(*decoded == DeclaredConfiguration{});
    }
}

Test(ParserRandom, DeepNestingIsRefused)
{
    const auto loaded = parseDeclaredConfiguration({"base.yaml", std::string(100'000, '[')}, {});
    cr_assert_not(static_cast<bool>(loaded));
}
