#include "declared_configuration_file.hpp"
#include "edit_distance.hpp"
#include "test_files.hpp"
#include "value_codec.hpp"

#include <gentianramp/config/settings_file.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

Validated<DeclaredConfiguration> load(const std::string &base, const std::string &overlay)
{
    return parseDeclaredConfiguration({"base.yaml", base}, {{"north.yaml", overlay}});
}

/// Loads the base file with one replacement and returns its only error.
std::string onlyBaseError(const std::string &from, const std::string &to)
{
    const auto loaded = load(replaced(ValidBase, from, to), ValidOverlay);
    cr_assert_eq(loaded.errors().size(), 1U, "%s", loaded.message().c_str());
    return toString(loaded.errors().front());
}

std::string onlyOverlayError(const std::string &from, const std::string &to)
{
    const auto loaded = load(ValidBase, replaced(ValidOverlay, from, to));
    cr_assert_eq(loaded.errors().size(), 1U, "%s", loaded.message().c_str());
    return toString(loaded.errors().front());
}

void assertContains(const std::string &text, const std::string &part)
{
    cr_assert(text.find(part) != std::string::npos, "'%s' is not in '%s'", part.c_str(),
              text.c_str());
}

} // namespace

Test(DeclaredConfiguration, ReadsEveryPart)
{
    const auto loaded = load(ValidBase, ValidOverlay);
    cr_assert(static_cast<bool>(loaded), "%s", loaded.message().c_str());
    cr_assert_eq(loaded->sites.size(), 2U);
    cr_assert(loaded->services[1].timeout == 30s);
    cr_assert(loaded->services[1].firstTokenTarget == 1800ms);
    cr_assert(loaded->backends[0].site == DataCentreId("north"));
    cr_assert(loaded->backends[0].role == EngineRole::Prefill);
    cr_assert(loaded->backends[0].checksFencing);
    cr_assert_eq(loaded->backends[2].slots, 4U);
    cr_assert_float_eq(loaded->planner.roleChangeCost, 4.5, 1e-9);
    cr_assert_eq(loaded->customers[0].services.size(), 2U);
    cr_assert(validateConfiguration(*loaded).empty());
}

Test(DeclaredConfiguration, SiteOverlayReplacesTheModelVersion)
{
    const auto loaded = load(ValidBase, ValidOverlay);
    const ModelId model("desk-7b");
    cr_assert(modelAtSite(*loaded, DataCentreId("north"), model).version == "v2");
    cr_assert(modelAtSite(*loaded, DataCentreId("south"), model).version == "v1");
    cr_assert(modelAtSite(*loaded, DataCentreId("south"), ModelId("other")).id == ModelId());
}

Test(DeclaredConfiguration, IdempotencyDependsOnThePath)
{
    const auto loaded = load(ValidBase, ValidOverlay);
    const ServiceDeclaration &bay = loaded->services[0];
    cr_assert(isIdempotent(bay, "/bay/lookup"));
    cr_assert(isIdempotent(bay, "/bay/lookup/7"));
    cr_assert_not(isIdempotent(bay, "/bay/lookups"));
    cr_assert_not(isIdempotent(bay, "/bay/unlock"));
    cr_assert(isIdempotent(loaded->services[1], "/v1/completions"));
}

Test(DeclaredConfiguration, UnknownKeyErrorSuggestsTheNearestKey)
{
    const std::string error = onlyBaseError("    timeout: 30s", "    timeuot: 30s");
    assertContains(error, "base.yaml:13: services[0].timeuot: unknown key");
    assertContains(error, "'timeout'");
}

Test(DeclaredConfiguration, ReportsAllErrorsTogether)
{
    std::string base = replaced(ValidBase, "timeout: 30s", "timeout: soon");
    base = replaced(base, "level: 5", "level: 99");
    base = replaced(base, "requests_per_second: 50", "requests_per_second: -1");
    const auto loaded = load(base, replaced(ValidOverlay, "slots: 4", "slots: many"));
    cr_assert_eq(loaded.errors().size(), 4U, "%s", loaded.message().c_str());
    assertContains(loaded.message(), "services[0].timeout: expected a duration");
    assertContains(loaded.message(), "priority_classes[1].level: expected a value from 0 to 15");
    assertContains(loaded.message(), "north.yaml:5: backends[2].slots: expected a whole number");
}

Test(DeclaredConfiguration, RefusesUnknownReferences)
{
    assertContains(onlyBaseError("model: desk-7b", "model: desk-8b"), "nearest is 'desk-7b'");
    assertContains(onlyBaseError("priority_class: normal", "priority_class: norm"), "'normal'");
    assertContains(onlyBaseError("services: [desk, bay]", "services: [desk, bya]"), "'bay'");
    assertContains(onlyOverlayError("service: desk", "service: desc"), "declared service");
    assertContains(onlyOverlayError("model: desk-7b", "model: x"), "declared model");
    assertContains(onlyOverlayError("site: north", "site: east"), "site of the base file");
}

Test(DeclaredConfiguration, RefusesDuplicates)
{
    assertContains(onlyBaseError("[north, south]", "[north, north]"), "unique site");
    assertContains(onlyBaseError("level: 5", "level: 0"), "unique level");
    assertContains(onlyOverlayError("id: worker-2", "id: worker-1"), "unique backend server id");
    assertContains(onlyOverlayError("port: 9003", "port: 9001"), "unique host and port");
    assertContains(onlyOverlayError("slots: 4", "port: 9004"), "key is set twice");
}

Test(DeclaredConfiguration, RefusesSecondOverlayOfASite)
{
    const ScratchFolder folder("twice");
    const auto loaded = loadDeclaredConfiguration(
        folder.write("base.yaml", ValidBase),
        {folder.write("a.yaml", "site: north\n"), folder.write("b.yaml", "site: north\n")});
    cr_assert_eq(loaded.errors().size(), 1U);
    assertContains(loaded.message(), "one overlay for each site");
}

Test(DeclaredConfiguration, OverlayRefusesKeysOfTheBaseFile)
{
    assertContains(onlyOverlayError("site: north", "planner: {}\nsite: north"), "unknown key");
    assertContains(onlyOverlayError("version: v2", "version: v2, weight_bytes: 3"), "unknown key");
}

Test(DeclaredConfiguration, RefusesWrongValues)
{
    assertContains(onlyBaseError("7ae]", "7AE]"), "64 lower-case hex digits");
    assertContains(onlyBaseError("path_prefix: /bay", "path_prefix: bay"), "a path such as /bay");
    assertContains(onlyBaseError("/bay\n    priority_class: urgent\n    idempotent: false\n"
                                 "    idempotent_paths: [/bay/lookup]",
                                 "/v1/bay\n    priority_class: urgent\n    idempotent: false"),
                   "outside /v1");
    assertContains(onlyBaseError("[/bay/lookup]", "[/lookup]"), "paths below '/bay/'");
    assertContains(onlyBaseError("first_token_target: 1800ms", "first_token_target: 40s"),
                   "at most the timeout");
    assertContains(onlyBaseError("1e9", ".inf"), "expected a number");
    assertContains(onlyOverlayError("port: 9003", "port: 70000"), "from 0 to 65535");
    assertContains(onlyOverlayError("host: 127.0.0.1, port: 9003", "host: bay, port: 9003"),
                   "an IP address");
}

Test(DeclaredConfiguration, RefusesMissingAndBrokenFiles)
{
    const ScratchFolder folder("missing");
    const auto missing = loadDeclaredConfiguration(folder.path() / "none.yaml", {});
    assertContains(missing.message(), "cannot read the file");
    const auto broken = load("sites: [north\nservices: {", ValidOverlay);
    assertContains(broken.message(), "expected valid YAML");
    const auto empty = load("", ValidOverlay);
    assertContains(empty.message(), "expected a mapping");
    cr_assert(*empty == DeclaredConfiguration{});
}

Test(DeclaredConfiguration, ChecksValuesWithoutFiles)
{
    DeclaredConfiguration configuration = *load(ValidBase, ValidOverlay);
    configuration.backends[1].slots = 0;
    configuration.services[1].model = ModelId("gone");
    const SettingsErrors errors = validateConfiguration(configuration);
    cr_assert_eq(errors.size(), 2U);
    assertContains(toString(errors), "backends[1].slots");
    assertContains(toString(errors), "services[1].model");
}

Test(EditDistance, FindsTheNearest)
{
    cr_assert_eq(editDistance("timeout", "timeuot"), 2U);
    cr_assert_eq(editDistance("", "abc"), 3U);
    cr_assert(closestMatch("prot", {"host", "port", "role"}) == "port");
    cr_assert(closestMatch("x", {}).empty());
}

Test(Durations, RoundTrip)
{
    for (const std::string text : {"250ms", "30s", "5m", "2h", "7us", "9ns"}) {
        Duration value{};
        cr_assert(parseDuration(text, value));
        cr_assert(formatDuration(value) == text);
    }
    Duration untouched = 1s;
    for (const std::string text : {"", "5", "-5s", "5 s", "s", "99999999999999999h", "5d"})
        cr_assert_not(parseDuration(text, untouched));
}
