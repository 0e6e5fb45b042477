#pragma once

#include <array>
#include <charconv>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <filesystem>
#include <gentianramp/config/declared_configuration.hpp>
#include <gentianramp/config/node_settings.hpp>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/strong_id.hpp>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace gentianramp {

/// Parses a duration such as "250ms", "30s" or "5m"; returns false for any other text.
bool parseDuration(std::string_view text, Duration &value);
/// Formats @p value as a whole number of the largest possible unit.
std::string formatDuration(Duration value);
/// Formats @p value as the shortest text that parses to the same number.
std::string formatNumber(double value);

/// Converts values of type V: parse() reads a YAML node, show() formats a value, and expected()
/// describes the valid form for error messages.
///
template <typename V>
struct ValueCodec;

template <>
struct ValueCodec<std::string>
{
    static std::string expected() { return "text"; }
    static bool parse(const YAML::Node &node, std::string &value)
    {
        if (!node.IsScalar())
            return false;
        value = node.Scalar();
        return true;
    }
    static std::string show(const std::string &value) { return value; }
};

template <typename Tag>
struct ValueCodec<StrongId<Tag, std::string>>
{
    using Id = StrongId<Tag, std::string>;
    static std::string expected() { return "a name"; }
    static bool parse(const YAML::Node &node, Id &value)
    {
        if (!node.IsScalar() || node.Scalar().empty())
            return false;
        value = Id(node.Scalar());
        return true;
    }
    static std::string show(const Id &value) { return value.value(); }
};

template <>
struct ValueCodec<std::filesystem::path>
{
    static std::string expected() { return "a path"; }
    static bool parse(const YAML::Node &node, std::filesystem::path &value)
    {
        if (!node.IsScalar())
            return false;
        value = node.Scalar();
        return true;
    }
    static std::string show(const std::filesystem::path &value) { return value.string(); }
};

template <>
struct ValueCodec<bool>
{
    static std::string expected() { return "true or false"; }
    static bool parse(const YAML::Node &node, bool &value)
    {
        if (!node.IsScalar() || (node.Scalar() != "true" && node.Scalar() != "false"))
            return false;
        value = node.Scalar() == "true";
        return true;
    }
    static std::string show(const bool &value) { return value ? "true" : "false"; }
};

template <std::unsigned_integral V>
struct ValueCodec<V>
{
    static std::string expected()
    {
        return "a whole number from 0 to " + std::to_string(std::numeric_limits<V>::max());
    }
    static bool parse(const YAML::Node &node, V &value)
    {
        if (!node.IsScalar())
            return false;
        const std::string &text = node.Scalar();
        const char *const end = text.data() + text.size();
        const auto [stop, error] = std::from_chars(text.data(), end, value);
        return error == std::errc() && stop == end;
    }
    static std::string show(const V &value) { return std::to_string(value); }
};

template <>
struct ValueCodec<double>
{
    static std::string expected() { return "a number"; }
    static bool parse(const YAML::Node &node, double &value)
    {
        if (!node.IsScalar())
            return false;
        const std::string &text = node.Scalar();
        const char *const end = text.data() + text.size();
        const auto [stop, error] = std::from_chars(text.data(), end, value);
        return error == std::errc() && stop == end && std::isfinite(value);
    }
    static std::string show(const double &value) { return formatNumber(value); }
};

template <>
struct ValueCodec<Duration>
{
    static std::string expected() { return "a duration such as 250ms, 30s or 5m"; }
    static bool parse(const YAML::Node &node, Duration &value)
    {
        return node.IsScalar() && parseDuration(node.Scalar(), value);
    }
    static std::string show(const Duration &value) { return formatDuration(value); }
};

/// Name of one enumerator in settings files.
template <typename E>
struct EnumName
{
    E value;
    std::string_view name;
};

/// Names of all enumerators of E; specialised for each enum.
template <typename E>
struct EnumNames;

template <>
struct EnumNames<ProcessKind>
{
    static constexpr std::array names{
        EnumName<ProcessKind>{ProcessKind::Entry, "entry"},
        EnumName<ProcessKind>{ProcessKind::Control, "control"},
    };
};

template <>
struct EnumNames<ServiceKind>
{
    static constexpr std::array names{
        EnumName<ServiceKind>{ServiceKind::Model, "model"},
        EnumName<ServiceKind>{ServiceKind::Plain, "plain"},
    };
};

template <>
struct EnumNames<EngineRole>
{
    static constexpr std::array names{
        EnumName<EngineRole>{EngineRole::Mixed, "mixed"},
        EnumName<EngineRole>{EngineRole::Prefill, "prefill"},
        EnumName<EngineRole>{EngineRole::Decode, "decode"},
    };
};

template <typename E>
requires std::is_enum_v<E>
struct ValueCodec<E>
{
    static std::string expected()
    {
        std::string text = "one of";
        for (const EnumName<E> &entry : EnumNames<E>::names)
            text += (text == "one of" ? " " : ", ") + std::string(entry.name);
        return text;
    }
    static bool parse(const YAML::Node &node, E &value)
    {
        if (!node.IsScalar())
            return false;
        for (const EnumName<E> &entry : EnumNames<E>::names) {
            if (entry.name != node.Scalar())
                continue;
            value = entry.value;
            return true;
        }
        return false;
    }
    static std::string show(const E &value)
    {
        for (const EnumName<E> &entry : EnumNames<E>::names) {
            if (entry.value == value)
                return std::string(entry.name);
        }
        return "unknown";
    }
};

template <typename V>
struct ValueCodec<std::vector<V>>
{
    static std::string expected() { return "a list, each entry " + ValueCodec<V>::expected(); }
    static bool parse(const YAML::Node &node, std::vector<V> &value)
    {
        if (!node.IsSequence())
            return false;
        std::vector<V> entries;
        for (const YAML::Node &child : node) {
            V entry{};
            if (!ValueCodec<V>::parse(child, entry))
                return false;
            entries.push_back(std::move(entry));
        }
        value = std::move(entries);
        return true;
    }
    static std::string show(const std::vector<V> &value)
    {
        std::string text;
        for (const V &entry : value)
            text += (text.empty() ? "" : ", ") + ValueCodec<V>::show(entry);
        return "[" + text + "]";
    }
};

} // namespace gentianramp
