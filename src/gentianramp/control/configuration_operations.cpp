#include <gentianramp/control/configuration_operations.hpp>

#include <algorithm>
#include <gentianramp/config/configuration_codec.hpp>
#include <gentianramp/config/settings_file.hpp>

namespace gentianramp {

namespace {

std::string errorsIn(std::string_view bytes)
{
    const Result<DeclaredConfiguration> configuration = decodeConfiguration(bytes);
    if (!configuration)
        return "the configuration cannot be decoded: " + configuration.message();
    return toString(validateConfiguration(configuration.value()));
}

Result<std::string> withDrained(std::string_view bytes, const BackendId &backend, bool drained)
{
    Result<DeclaredConfiguration> read = decodeConfiguration(bytes);
    if (!read)
        return {read.error(), read.message()};
    DeclaredConfiguration configuration = std::move(read).value();
    const auto found
        = std::find_if(configuration.backends.begin(), configuration.backends.end(),
                       [&](const BackendDeclaration &each) { return each.id == backend; });
    if (found == configuration.backends.end())
        return {Error::InvalidArgument, "no backend server is named " + backend.value()};
    found->drained = drained;
    return encodeConfiguration(configuration);
}

} // namespace

ConfigurationOperations declaredConfigurationOperations()
{
    return {.check = errorsIn, .withDrained = withDrained};
}

} // namespace gentianramp
