#include <gentianramp/config/declared_configuration.hpp>

#include <algorithm>

namespace gentianramp {

namespace {

bool isBelowPath(std::string_view path, std::string_view prefix)
{
    return path.starts_with(prefix) && (path.size() == prefix.size() || path[prefix.size()] == '/');
}

} // namespace

bool isIdempotent(const ServiceDeclaration &service, std::string_view path)
{
    return service.idempotent
        || std::any_of(service.idempotentPaths.begin(), service.idempotentPaths.end(),
                       [path](const std::string &prefix) { return isBelowPath(path, prefix); });
}

ModelDeclaration modelAtSite(const DeclaredConfiguration &configuration, const DataCentreId &site,
                             const ModelId &model)
{
    const auto declared
        = std::find_if(configuration.models.begin(), configuration.models.end(),
                       [&model](const ModelDeclaration &each) { return each.id == model; });
    if (declared == configuration.models.end())
        return {};
    ModelDeclaration result = *declared;
    for (const SiteModelDeclaration &each : configuration.siteModels) {
        if (each.site != site || each.model != model)
            continue;
        result.version = each.version;
        result.adapters = each.adapters;
    }
    return result;
}

} // namespace gentianramp
