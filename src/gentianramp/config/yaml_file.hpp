#pragma once

#include "field_table.hpp"

#include <filesystem>
#include <functional>

namespace gentianramp {

/// Text of a settings file with the name that errors give it.
struct SourceText
{
    std::filesystem::path file;
    std::string text;
};

/// Reads @p file; adds an error when it cannot be read or is above 4 MiB.
SourceText readSource(const std::filesystem::path &file, SettingsErrors &errors);

/// Parses @p text and gives its root to @p use. Whatever yaml-cpp throws becomes an error with its
/// line.
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
