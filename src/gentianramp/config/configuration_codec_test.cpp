#include "declared_configuration_file.hpp"
#include "test_files.hpp"

#include <algorithm>
#include <gentianramp/config/configuration_codec.hpp>
#include <gentianramp/config/configuration_diff.hpp>
#include <gentianramp/config/settings_file.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

DeclaredConfiguration example()
{
    return *parseDeclaredConfiguration({"base.yaml", ValidBase}, {{"north.yaml", ValidOverlay}});
}

} // namespace

Test(ConfigurationCodec, RoundTrip)
{
    const DeclaredConfiguration configuration = example();
    const auto decoded = decodeConfiguration(encodeConfiguration(configuration));
    cr_assert(static_cast<bool>(decoded), "%s", decoded.message().c_str());
    cr_assert(*decoded == configuration);
    const auto empty = decodeConfiguration(encodeConfiguration(DeclaredConfiguration{}));
    cr_assert(*empty == DeclaredConfiguration{});
}

Test(ConfigurationCodec, OrderOfListsDoesNotChangeTheBytes)
{
    DeclaredConfiguration configuration = example();
    const std::string bytes = encodeConfiguration(configuration);
    std::reverse(configuration.backends.begin(), configuration.backends.end());
    std::reverse(configuration.services.begin(), configuration.services.end());
    std::reverse(configuration.sites.begin(), configuration.sites.end());
    cr_assert(encodeConfiguration(configuration) == bytes);
}

Test(ConfigurationCodec, RefusesNonCanonicalBytes)
{
    const std::string bytes = encodeConfiguration(example());
    const std::string unknownField("\xa2\x06\x01x", 4);
    cr_assert(decodeConfiguration(bytes + unknownField).error() == Error::Malformed);
    cr_assert(decodeConfiguration(bytes + bytes).error() == Error::Malformed);
    cr_assert(decodeConfiguration("").error() == Error::Malformed);
    cr_assert(decodeConfiguration("hello").error() == Error::Malformed);
}

Test(ConfigurationDiff, EqualConfigurationsHaveNoChanges)
{
    cr_assert(compareConfigurations(example(), example()).empty());
}

Test(ConfigurationDiff, ReportsEveryChange)
{
    const DeclaredConfiguration before = example();
    DeclaredConfiguration after = before;
    after.services[1].timeout = 20s;
    after.backends[0].drained = true;
    after.backends.pop_back();
    after.sites.emplace_back("west");
    after.planner.roleChangeCost = 2;
    const auto changes = compareConfigurations(before, after);
    cr_assert_eq(changes.size(), 5U);
    cr_assert(toString(changes[0]) == "+ sites[west]: name=west");
    cr_assert(toString(changes[1]) == "~ services[desk].timeout: 30s -> 20s");
    cr_assert(toString(changes[2]) == "~ backends[engine-1].drained: false -> true");
    cr_assert(changes[3].kind == ChangeKind::Removed);
    cr_assert(toString(changes[3]).starts_with("- backends[worker-2]: id=worker-2, service=bay"));
    cr_assert(toString(changes[4]) == "~ planner.role_change_weight: 4.5 -> 2");
}

Test(ConfigurationDiff, ReportsSiteAndSiteModelChanges)
{
    const DeclaredConfiguration before = example();
    DeclaredConfiguration after = before;
    after.backends[1].site = DataCentreId("south");
    after.siteModels[0].version = "v3";
    const auto changes = compareConfigurations(before, after);
    cr_assert_eq(changes.size(), 2U);
    cr_assert(changes[0].field == "site");
    cr_assert(toString(changes[1]) == "~ site_models[north:desk-7b].version: v2 -> v3");
}
