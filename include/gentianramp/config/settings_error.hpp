#pragma once

#include <filesystem>
#include <gentianramp/core/error.hpp>
#include <string>
#include <utility>
#include <vector>

namespace gentianramp {

/// One error in a settings or configuration file.
struct SettingsError
{
    std::filesystem::path file; ///< Empty when the value came from no file.
    int line = 0;               ///< From 1; 0 when no line is known.
    std::string key;            ///< "services[2].timeout"; empty for the whole file.
    std::string problem;        ///< What was found and what was expected.
    bool operator==(const SettingsError &) const = default;
};

using SettingsErrors = std::vector<SettingsError>;

/// "base.yaml:12: services[2].timeout: expected ..., found ...".
std::string toString(const SettingsError &error);
/// All errors, one a line.
std::string toString(const SettingsErrors &errors);

/// A value that passed every check, or the complete list of what is wrong with it.
template <typename T>
class Validated
{
public:
    Validated(T value)
        : m_value(std::move(value))
    { }
    Validated(SettingsErrors errors)
        : m_errors(std::move(errors))
    { }

    explicit operator bool() const noexcept { return m_errors.empty(); }
    const SettingsErrors &errors() const noexcept { return m_errors; }
    std::error_code error() const noexcept
    {
        return m_errors.empty() ? std::error_code() : make_error_code(Error::InvalidArgument);
    }
    /// All errors, one a line.
    std::string message() const { return toString(m_errors); }
    const T &value() const &noexcept { return m_value; }
    T &&value() &&noexcept { return std::move(m_value); }
    const T *operator->() const noexcept { return &m_value; }
    const T &operator*() const noexcept { return m_value; }

private:
    T m_value{};
    SettingsErrors m_errors;
};

} // namespace gentianramp
