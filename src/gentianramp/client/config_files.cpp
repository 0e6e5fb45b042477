#include "config_files.hpp"

#include <algorithm>

namespace gentianramp {

namespace {

constexpr std::string_view BaseFileName = "base.yaml";

std::vector<std::filesystem::path> overlayFilesIn(const std::filesystem::path &folder)
{
    std::vector<std::filesystem::path> files;
    std::error_code failure;
    for (const auto &entry : std::filesystem::directory_iterator(folder, failure)) {
        const auto &file = entry.path();
        if (file.extension() == ".yaml" && file.filename() != BaseFileName)
            files.push_back(file);
    }
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace

Validated<DeclaredConfiguration> loadSelectedConfiguration(const CommandOptions &options)
{
    if (!options.baseFile.empty())
        return loadDeclaredConfiguration(options.baseFile, options.overlayFiles);
    if (options.arguments.empty())
        return SettingsErrors{{"", 0, "", "expected a folder with base.yaml, or --base FILE"}};
    const std::filesystem::path folder = options.arguments.front();
    return loadDeclaredConfiguration(folder / BaseFileName, overlayFilesIn(folder));
}

} // namespace gentianramp
