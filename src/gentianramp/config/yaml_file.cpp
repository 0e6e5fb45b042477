#include "yaml_file.hpp"

#include <fstream>
#include <iterator>

namespace gentianramp {

namespace {

constexpr std::uintmax_t MaxFileBytes = 4 * 1024 * 1024;

SettingsError fileError(const std::filesystem::path &file, std::string problem)
{
    return {file, 0, "", std::move(problem)};
}

} // namespace

SourceText readSource(const std::filesystem::path &file, SettingsErrors &errors)
{
    SourceText source{file, {}};
    std::error_code failure;
    const std::uintmax_t size = std::filesystem::file_size(file, failure);
    if (failure) {
        errors.push_back(fileError(file, "cannot read the file: " + failure.message()));
        return source;
    }
    if (size > MaxFileBytes) {
        errors.push_back(fileError(file,
                                   "expected at most " + std::to_string(MaxFileBytes)
                                       + " bytes, found " + std::to_string(size)));
        return source;
    }
    std::ifstream in(file, std::ios::binary);
    source.text.assign(std::istreambuf_iterator<char>(in), {});
    if (!in.is_open() || in.bad())
        errors.push_back(fileError(file, "cannot read the file"));
    return source;
}

void parseYaml(const std::string &text, const ReadContext &context,
               const std::function<void(const YAML::Node &)> &use)
{
    try {
        use(YAML::Load(text));
    } catch (const YAML::Exception &problem) {
        const int line = problem.mark.is_null() ? 0 : problem.mark.line + 1;
        context.errors->push_back({context.file, line, "", "expected valid YAML: " + problem.msg});
    }
}

} // namespace gentianramp
