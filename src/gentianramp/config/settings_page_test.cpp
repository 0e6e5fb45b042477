#include "node_fields.hpp"
#include "operator_fields.hpp"
#include "sections.hpp"

#include <fstream>
#include <iterator>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

std::string settingsPage()
{
    std::ifstream in(GENTIANRAMP_SETTINGS_PAGE);
    return {std::istreambuf_iterator<char>(in), {}};
}

template <typename T>
void assertDescribed(const FieldTable<T> &table, const std::string &page)
{
    for (const Field<T> &entry : table)
        cr_assert(page.find("`" + entry.key + "`") != std::string::npos,
                  "docs/SETTINGS.md does not describe %s", entry.key.c_str());
}

} // namespace

Test(SettingsPage, DescribesEveryKey)
{
    const std::string page = settingsPage();
    assertDescribed(priorityClassFields(), page);
    assertDescribed(modelFields(), page);
    assertDescribed(siteModelFields(), page);
    assertDescribed(serviceFields(), page);
    assertDescribed(customerFields(), page);
    assertDescribed(backendFields(), page);
    assertDescribed(plannerFields(), page);
    assertDescribed(generalFields(), page);
    assertDescribed(peerFields(), page);
    assertDescribed(nodeFields(), page);
    assertDescribed(operatorFields(), page);
}
