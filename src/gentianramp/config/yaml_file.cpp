#include "yaml_file.hpp"

#include <fstream>
#include <iterator>

namespace gentianramp {

namespace {

constexpr std::uintmax_t LargestFileBytes = 4 * 1024 * 1024;

void addFileError(const ReadContext &context, int line, std::string problem)
{
    context.errors->push_back({context.file, line, "", std::move(problem)});
}

bool readText(const ReadContext &context, std::string &text)
{
    std::error_code failure;
    const std::uintmax_t size = std::filesystem::file_size(context.file, failure);
    if (failure) {
        addFileError(context, 0, "cannot read the file: " + failure.message());
        return false;
    }
    if (size > LargestFileBytes) {
        addFileError(context, 0,
                     "expected at most " + std::to_string(LargestFileBytes) + " bytes, found "
                         + std::to_string(size));
        return false;
    }
    std::ifstream in(context.file, std::ios::binary);
    text.assign(std::istreambuf_iterator<char>(in), {});
    if (!in.good() && !in.eof()) {
        addFileError(context, 0, "cannot read the file");
        return false;
    }
    return true;
}

} // namespace

void readYamlFile(const ReadContext &context, const std::function<void(const YAML::Node &)> &use)
{
    std::string text;
    if (!readText(context, text))
        return;
    try {
        use(YAML::Load(text));
    } catch (const YAML::Exception &problem) {
        const int line = problem.mark.is_null() ? 0 : problem.mark.line + 1;
        addFileError(context, line, "expected valid YAML: " + problem.msg);
    }
}

} // namespace gentianramp
