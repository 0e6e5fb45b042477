#include "sections.hpp"

#include <gentianramp/config/configuration_codec.hpp>
#include <gentianramp/config/configuration_diff.hpp>
#include <map>

namespace gentianramp {

namespace {

using Changes = std::vector<ConfigurationChange>;

template <typename T>
std::string describeEntry(const T &value, const FieldTable<T> &table)
{
    std::string text;
    for (const Field<T> &entry : table) {
        if (!text.empty())
            text += ", ";
        text += entry.key;
        text += '=';
        text += entry.show(value);
    }
    return text;
}

template <typename T>
void compareFields(const T &before, const T &after, const FieldTable<T> &table,
                   const std::string &section, const std::string &id, Changes &changes)
{
    for (const Field<T> &entry : table) {
        std::string left = entry.show(before);
        std::string right = entry.show(after);
        if (left != right)
            changes.push_back(
                {ChangeKind::Changed, section, id, entry.key, std::move(left), std::move(right)});
    }
}

/// Compares two lists whose entries are identified by @p idOf.
template <typename T, typename IdOf>
void compareLists(const std::vector<T> &before, const std::vector<T> &after,
                  const FieldTable<T> &table, const std::string &section, IdOf idOf,
                  Changes &changes)
{
    std::map<std::string, const T *> left;
    std::map<std::string, const T *> right;
    for (const T &entry : before)
        left.emplace(idOf(entry), &entry);
    for (const T &entry : after)
        right.emplace(idOf(entry), &entry);
    for (const auto &[id, entry] : left) {
        const auto other = right.find(id);
        if (other != right.end())
            compareFields(*entry, *other->second, table, section, id, changes);
        else
            changes.push_back(
                {ChangeKind::Removed, section, id, "", describeEntry(*entry, table), ""});
    }
    for (const auto &[id, entry] : right) {
        if (left.count(id) == 0)
            changes.push_back(
                {ChangeKind::Added, section, id, "", "", describeEntry(*entry, table)});
    }
}

FieldTable<BackendDeclaration> backendFieldsWithSite()
{
    FieldTable<BackendDeclaration> table = backendFields();
    table.push_back(field("site", &BackendDeclaration::site));
    return table;
}

FieldTable<DataCentreId> siteFields()
{
    Field<DataCentreId> name;
    name.key = "name";
    name.show = [](const DataCentreId &site) { return site.value(); };
    return {name};
}

template <typename T>
std::string idOfEntry(const T &entry)
{
    return entry.id.value();
}

} // namespace

std::vector<ConfigurationChange> compareConfigurations(const DeclaredConfiguration &before,
                                                       const DeclaredConfiguration &after)
{
    Changes changes;
    compareLists(
        before.sites, after.sites, siteFields(), "sites",
        [](const DataCentreId &site) { return site.value(); }, changes);
    compareLists(
        before.priorityClasses, after.priorityClasses, priorityClassFields(), "priority_classes",
        [](const PriorityClass &each) { return each.name; }, changes);
    compareLists(before.models, after.models, modelFields(), "models", idOfEntry<ModelDeclaration>,
                 changes);
    compareLists(before.services, after.services, serviceFields(), "services",
                 idOfEntry<ServiceDeclaration>, changes);
    compareLists(before.customers, after.customers, customerFields(), "customers",
                 idOfEntry<CustomerDeclaration>, changes);
    compareLists(before.backends, after.backends, backendFieldsWithSite(), "backends",
                 idOfEntry<BackendDeclaration>, changes);
    compareLists(
        before.siteModels, after.siteModels, siteModelFields(), "site_models",
        [](const SiteModelDeclaration &each) {
            return each.site.value() + ":" + each.model.value();
        },
        changes);
    compareFields(before.planner, after.planner, plannerFields(), "planner", "", changes);
    compareFields(GeneralSettings{before.weightStoreBytesPerSecond, before.idempotencyLifetime},
                  GeneralSettings{after.weightStoreBytesPerSecond, after.idempotencyLifetime},
                  generalFields(), "general", "", changes);
    return changes;
}

std::string_view toString(ChangeKind kind)
{
    switch (kind) {
    case ChangeKind::Added:
        return "added";
    case ChangeKind::Removed:
        return "removed";
    case ChangeKind::Changed:
        return "changed";
    }
    return "changed";
}

std::string toString(const ConfigurationChange &change)
{
    std::string place = change.section;
    if (!change.id.empty())
        place += "[" + change.id + "]";
    switch (change.kind) {
    case ChangeKind::Added:
        return "+ " + place + ": " + change.after;
    case ChangeKind::Removed:
        return "- " + place + ": " + change.before;
    case ChangeKind::Changed:
        break;
    }
    return "~ " + place + "." + change.field + ": " + change.before + " -> " + change.after;
}

} // namespace gentianramp
