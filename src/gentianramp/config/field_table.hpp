#pragma once

#include "value_codec.hpp"

#include <algorithm>
#include <concepts>
#include <functional>
#include <gentianramp/config/settings_error.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace gentianramp {

/// A value with its location in a file.
template <typename T>
struct Located
{
    T value{};
    std::filesystem::path file;
    std::string key; ///< "services[2]"; empty for a whole file.
    int line = 0;
    std::map<std::string, int> fieldLines; ///< Line of each key that is set.

    /// Error in the field @p field of this value; in the value itself if @p field is empty.
    SettingsError problem(const std::string &field, std::string text) const
    {
        const auto found = fieldLines.find(field);
        const std::string full = key.empty() || field.empty() ? key + field : key + "." + field;
        return {file, found == fieldLines.end() ? line : found->second, full, std::move(text)};
    }
};

/// The file that is read and the list that collects its errors.
struct ReadContext
{
    std::filesystem::path file;
    SettingsErrors *errors = nullptr;

    /// Adds an error at the line of @p node.
    void addError(const YAML::Node &node, std::string key, std::string problem) const;
};

/// Whether a key must be set.
enum class Need {
    Optional,
    Required,
};

/// Returns what is expected if a value is invalid, or an empty text.
template <typename V>
using ValueCheck = std::function<std::string(const V &)>;

/// One key of a section with the functions that read, check and show its value.
template <typename T>
struct Field
{
    std::string key;
    Need need = Need::Optional;
    std::function<void(T &, const YAML::Node &, const std::string &path, const ReadContext &)> read;
    std::function<std::string(const T &)> check;
    std::function<std::string(const T &)> show;
};

template <typename T>
using FieldTable = std::vector<Field<T>>;

/// Describes a node for error messages; long values are truncated.
std::string describeNode(const YAML::Node &node);
/// Error text for a key @p key that is not in @p known; suggests the nearest known key.
std::string unknownKeyProblem(const std::string &key, const std::vector<std::string> &known);
/// Line of a node, counted from 1; 0 if it is unknown.
int lineOf(const YAML::Node &node);

/// Like field(), for a member that T may inherit from its base class Owner.
template <typename T, typename Owner, typename V>
requires std::derived_from<T, Owner> Field<T> inheritedField(const std::string &key,
                                                             V Owner::*member,
                                                             Need need = Need::Optional,
                                                             ValueCheck<V> check = {})
{
    Field<T> entry;
    entry.key = key;
    entry.need = need;
    entry.read = [member](T &target, const YAML::Node &node, const std::string &path,
                          const ReadContext &context) {
        V parsed{};
        if (ValueCodec<V>::parse(node, parsed))
            target.*member = std::move(parsed);
        else
            context.addError(node, path,
                             "expected " + ValueCodec<V>::expected() + ", found "
                                 + describeNode(node));
    };
    entry.check = [member, check = std::move(check)](const T &value) {
        return check ? check(value.*member) : std::string();
    };
    entry.show = [member](const T &value) { return ValueCodec<V>::show(value.*member); };
    return entry;
}

/// A key of T whose value is parsed by ValueCodec<V> and checked by @p check.
template <typename T, typename V>
Field<T> field(const std::string &key, V T::*member, Need need = Need::Optional,
               ValueCheck<V> check = {})
{
    return inheritedField<T>(key, member, need, std::move(check));
}

/// Reads one mapping; adds errors for invalid values and unknown, duplicate and missing keys.
template <typename T>
Located<T> readMapping(const YAML::Node &node, const FieldTable<T> &table, const std::string &path,
                       const ReadContext &context)
{
    Located<T> result;
    result.file = context.file;
    result.key = path;
    result.line = lineOf(node);
    if (!node.IsMap()) {
        context.addError(node, path, "expected a mapping, found " + describeNode(node));
        return result;
    }
    std::vector<std::string> known;
    for (const Field<T> &entry : table)
        known.push_back(entry.key);
    const std::string prefix = path.empty() ? "" : path + ".";
    for (const auto &pair : node) {
        const std::string key = pair.first.IsScalar() ? pair.first.Scalar() : "";
        const auto entry = std::find_if(table.begin(), table.end(),
                                        [&key](const Field<T> &each) { return each.key == key; });
        if (entry == table.end()) {
            context.addError(pair.first, prefix + key, unknownKeyProblem(key, known));
            continue;
        }
        if (!result.fieldLines.emplace(key, lineOf(pair.second)).second) {
            context.addError(pair.first, prefix + key, "key is set twice, expected it once");
            continue;
        }
        const std::size_t before = context.errors->size();
        entry->read(result.value, pair.second, prefix + key, context);
        const std::string wanted = entry->check ? entry->check(result.value) : "";
        if (context.errors->size() == before && !wanted.empty())
            context.addError(pair.second, prefix + key,
                             "expected " + wanted + ", found " + describeNode(pair.second));
    }
    for (const Field<T> &entry : table) {
        if (entry.need == Need::Required && result.fieldLines.count(entry.key) == 0)
            context.errors->push_back(
                result.problem(entry.key, "key is missing, expected it to be set"));
    }
    return result;
}

/// Reads a list of mappings.
template <typename T>
std::vector<Located<T>> readList(const YAML::Node &node, const FieldTable<T> &table,
                                 const std::string &path, const ReadContext &context)
{
    std::vector<Located<T>> entries;
    if (!node.IsSequence()) {
        context.addError(node, path, "expected a list, found " + describeNode(node));
        return entries;
    }
    std::size_t index = 0;
    for (const YAML::Node &child : node)
        entries.push_back(
            readMapping(child, table, path + "[" + std::to_string(index++) + "]", context));
    return entries;
}

/// A key that holds a list of mappings read by @p table.
template <typename T, typename V>
Field<T> listField(const std::string &key, std::vector<Located<V>> T::*member,
                   const FieldTable<V> &table, Need need = Need::Optional)
{
    Field<T> entry;
    entry.key = key;
    entry.need = need;
    entry.read = [member, &table](T &target, const YAML::Node &node, const std::string &path,
                                  const ReadContext &context) {
        target.*member = readList(node, table, path, context);
    };
    return entry;
}

/// A key that holds one mapping read by @p table.
template <typename T, typename V>
Field<T> mappingField(const std::string &key, Located<V> T::*member, const FieldTable<V> &table,
                      Need need = Need::Optional)
{
    Field<T> entry;
    entry.key = key;
    entry.need = need;
    entry.read = [member, &table](T &target, const YAML::Node &node, const std::string &path,
                                  const ReadContext &context) {
        target.*member = readMapping(node, table, path, context);
    };
    return entry;
}

/// Checks all fields of a value that was not read from a file.
template <typename T>
void checkValues(const Located<T> &located, const FieldTable<T> &table, SettingsErrors &errors)
{
    for (const Field<T> &entry : table) {
        const std::string wanted = entry.check(located.value);
        if (!wanted.empty())
            errors.push_back(located.problem(
                entry.key, "expected " + wanted + ", found " + entry.show(located.value)));
    }
}

/// Returns a check for values from @p lowest to @p highest.
template <typename V>
ValueCheck<V> between(V lowest, V highest)
{
    return [lowest, highest](const V &value) -> std::string {
        if (value >= lowest && value <= highest)
            return {};
        return "a value from " + ValueCodec<V>::show(lowest) + " to "
            + ValueCodec<V>::show(highest);
    };
}

/// True for 1 to 63 letters, digits and "._-"; @p slash also allows '/' and ':'.
bool isName(std::string_view text, bool slash = false);

/// Check that a value is a name, see isName().
template <typename V>
std::string nameCheck(const V &value)
{
    return isName(ValueCodec<V>::show(value)) ? "" : "1 to 63 letters, digits, '.', '_' or '-'";
}

} // namespace gentianramp
