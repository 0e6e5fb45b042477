#pragma once

#include "field_table.hpp"

#include <filesystem>
#include <functional>

namespace gentianramp {

/// Text of a settings file with the file name to show in errors.
struct SourceText
{
    std::filesystem::path file;
    std::string text;
};

/// Reads @p file; adds an error if it cannot be read or is larger than 4 MiB.
SourceText readSource(const std::filesystem::path &file, SettingsErrors &errors);

/// Parses @p text and calls @p use with its root. Exceptions of yaml-cpp are added as errors with
/// their line.
void parseYaml(const std::string &text, const ReadContext &context,
               const std::function<void(const YAML::Node &)> &use);

/// Reads one mapping from a whole text by @p table.
template <typename T>
Located<T> readDocument(const SourceText &source, const FieldTable<T> &table,
                        SettingsErrors &errors)
{
    const ReadContext context{source.file, &errors};
    Located<T> content;
    content.file = source.file;
    parseYaml(source.text, context,
              [&](const YAML::Node &root) { content = readMapping(root, table, "", context); });
    return content;
}

/// Reads one mapping from a whole file by @p table.
template <typename T>
Located<T> readDocument(const std::filesystem::path &file, const FieldTable<T> &table,
                        SettingsErrors &errors)
{
    const std::size_t before = errors.size();
    const SourceText source = readSource(file, errors);
    if (errors.size() != before)
        return {};
    return readDocument(source, table, errors);
}

} // namespace gentianramp
