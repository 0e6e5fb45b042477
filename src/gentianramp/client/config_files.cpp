#include "config_files.hpp"

#include <algorithm>

namespace gentianramp {

namespace {

constexpr std::string_view BaseName = "base.yaml";

std::vector<std::filesystem::path> overlaysIn(const std::filesystem::path &folder)
{
    std::vector<std::filesystem::path> files;
    std::error_code failure;
    for (const auto &entry : std::filesystem::directory_iterator(folder, failure)) {
        const auto &file = entry.path();
        if (file.extension() == ".yaml" && file.filename() != BaseName)
            files.push_back(file);
    }
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace

Validated<DeclaredConfiguration> loadNamedConfiguration(const CommandOptions &options)
{
    if (!options.baseFile.empty())
        return loadDeclaredConfiguration(options.baseFile, options.overlayFiles);
    if (options.arguments.empty())
        return SettingsErrors{{"", 0, "", "expected a folder with base.yaml, or --base FILE"}};
    const std::filesystem::path folder = options.arguments.front();
    return loadDeclaredConfiguration(folder / BaseName, overlaysIn(folder));
}

} // namespace gentianramp
