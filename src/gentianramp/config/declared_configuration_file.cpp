#include "declared_configuration_file.hpp"
#include "configuration_rules.hpp"

#include <gentianramp/config/configuration_codec.hpp>
#include <gentianramp/config/settings_file.hpp>
#include <set>

namespace gentianramp {

namespace {

/// Content of the base file.
struct BaseFile
{
    std::vector<DataCentreId> sites;
    std::vector<Located<PriorityClass>> priorityClasses;
    std::vector<Located<ModelDeclaration>> models;
    std::vector<Located<ServiceDeclaration>> services;
    std::vector<Located<CustomerDeclaration>> customers;
    Located<PlannerSettings> planner;
    Located<GeneralSettings> general;
};

/// Content of the overlay of one site.
struct OverlayFile
{
    DataCentreId site;
    std::vector<Located<BackendDeclaration>> backends;
    std::vector<Located<SiteModelDeclaration>> models;
};

const FieldTable<BaseFile> &baseFields()
{
    static const FieldTable<BaseFile> table{
        field("sites", &BaseFile::sites, Need::Required),
        listField("priority_classes", &BaseFile::priorityClasses, priorityClassFields(),
                  Need::Required),
        listField("models", &BaseFile::models, modelFields()),
        listField("services", &BaseFile::services, serviceFields(), Need::Required),
        listField("customers", &BaseFile::customers, customerFields(), Need::Required),
        mappingField("planner", &BaseFile::planner, plannerFields()),
        mappingField("general", &BaseFile::general, generalFields()),
    };
    return table;
}

const FieldTable<OverlayFile> &overlayFields()
{
    static const FieldTable<OverlayFile> table{
        field("site", &OverlayFile::site, Need::Required),
        listField("backends", &OverlayFile::backends, backendFields()),
        listField("models", &OverlayFile::models, siteModelFields()),
    };
    return table;
}

void mergeBase(const Located<BaseFile> &base, LocatedConfiguration &merged)
{
    const auto sitesLine = base.fieldLines.find("sites");
    merged.sites.value = base.value.sites;
    merged.sites.file = base.file;
    merged.sites.key = "sites";
    merged.sites.line = sitesLine == base.fieldLines.end() ? 0 : sitesLine->second;
    merged.priorityClasses = base.value.priorityClasses;
    merged.models = base.value.models;
    merged.services = base.value.services;
    merged.customers = base.value.customers;
    merged.planner = base.value.planner;
    merged.general = base.value.general;
}

bool siteIsDeclared(const LocatedConfiguration &merged, const DataCentreId &site)
{
    const auto &sites = merged.sites.value;
    return std::find(sites.begin(), sites.end(), site) != sites.end();
}

void mergeOverlay(const Located<OverlayFile> &overlay, LocatedConfiguration &merged,
                  SettingsErrors &errors)
{
    const DataCentreId &site = overlay.value.site;
    if (!siteIsDeclared(merged, site)) {
        errors.push_back(overlay.problem(
            "site", "expected a site of the base file, found '" + site.value() + "'"));
        return;
    }
    for (Located<BackendDeclaration> backend : overlay.value.backends) {
        backend.value.site = site;
        merged.backends.push_back(std::move(backend));
    }
    for (Located<SiteModelDeclaration> model : overlay.value.models) {
        model.value.site = site;
        merged.siteModels.push_back(std::move(model));
    }
}

} // namespace

Validated<DeclaredConfiguration>
parseDeclaredConfiguration(const SourceText &baseText, const std::vector<SourceText> &overlayTexts)
{
    SettingsErrors errors;
    LocatedConfiguration merged;
    const Located<BaseFile> base = readDocument(baseText, baseFields(), errors);
    const bool baseIsReadable = errors.empty();
    mergeBase(base, merged);
    std::set<DataCentreId> seen;
    for (const SourceText &text : overlayTexts) {
        const std::size_t before = errors.size();
        const Located<OverlayFile> overlay = readDocument(text, overlayFields(), errors);
        if (!baseIsReadable || errors.size() != before)
            continue;
        if (!seen.insert(overlay.value.site).second)
            errors.push_back(overlay.problem("site",
                                             "expected one overlay for each site, found a "
                                             "second one for '"
                                                 + overlay.value.site.value() + "'"));
        mergeOverlay(overlay, merged, errors);
    }
    if (baseIsReadable)
        checkRules(merged, errors);
    if (!errors.empty())
        return errors;
    return canonicalOrder(withoutLocations(merged));
}

Validated<DeclaredConfiguration>
loadDeclaredConfiguration(const std::filesystem::path &baseFile,
                          const std::vector<std::filesystem::path> &overlayFiles)
{
    SettingsErrors errors;
    const SourceText base = readSource(baseFile, errors);
    std::vector<SourceText> overlays;
    overlays.reserve(overlayFiles.size());
    for (const std::filesystem::path &file : overlayFiles)
        overlays.push_back(readSource(file, errors));
    if (!errors.empty())
        return errors;
    return parseDeclaredConfiguration(base, overlays);
}

SettingsErrors validateConfiguration(const DeclaredConfiguration &configuration)
{
    SettingsErrors errors;
    const LocatedConfiguration located = withKeyLocations(configuration);
    const auto checkAll = [&errors](const auto &entries, const auto &table) {
        for (const auto &each : entries)
            checkValues(each, table, errors);
    };
    checkAll(located.priorityClasses, priorityClassFields());
    checkAll(located.models, modelFields());
    checkAll(located.services, serviceFields());
    checkAll(located.customers, customerFields());
    checkAll(located.backends, backendFields());
    checkAll(located.siteModels, siteModelFields());
    checkValues(located.planner, plannerFields(), errors);
    checkValues(located.general, generalFields(), errors);
    checkRules(located, errors);
    return errors;
}

} // namespace gentianramp
