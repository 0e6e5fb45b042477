#include "sections.hpp"

namespace gentianramp {

namespace {

std::string modelNameCheck(const ModelId &id)
{
    return isName(id.value(), true) ? "" : "1 to 63 letters, digits, '.', '_', '-', '/' or ':'";
}

std::string adaptersCheck(const std::vector<std::string> &adapters)
{
    for (const std::string &adapter : adapters) {
        if (!isName(adapter))
            return "adapter names of 1 to 63 letters, digits, '.', '_' or '-'";
    }
    return {};
}

} // namespace

const FieldTable<ModelDeclaration> &modelFields()
{
    static const FieldTable<ModelDeclaration> table{
        field("id", &ModelDeclaration::id, Need::Required, ValueCheck<ModelId>(modelNameCheck)),
        field("version", &ModelDeclaration::version, Need::Required,
              ValueCheck<std::string>(nameCheck<std::string>)),
        field("adapters", &ModelDeclaration::adapters, Need::Optional,
              ValueCheck<std::vector<std::string>>(adaptersCheck)),
        field("weight_bytes", &ModelDeclaration::weightBytes),
    };
    return table;
}

const FieldTable<SiteModelDeclaration> &siteModelFields()
{
    static const FieldTable<SiteModelDeclaration> table{
        field("model", &SiteModelDeclaration::model, Need::Required,
              ValueCheck<ModelId>(modelNameCheck)),
        field("version", &SiteModelDeclaration::version, Need::Required,
              ValueCheck<std::string>(nameCheck<std::string>)),
        field("adapters", &SiteModelDeclaration::adapters, Need::Optional,
              ValueCheck<std::vector<std::string>>(adaptersCheck)),
    };
    return table;
}

} // namespace gentianramp
