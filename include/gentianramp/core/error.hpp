#pragma once

#include <string>
#include <system_error>

namespace gentianramp {

/// Errors that more than one library reports.
enum class Error {
    InvalidArgument = 1, ///< A value is outside its documented range.
    Malformed,           ///< Bytes could not be parsed.
    TooLarge,            ///< A size limit was exceeded.
    TimedOut,            ///< The deadline passed.
    ConnectionRefused,   ///< No byte reached the peer.
    ConnectionLost,      ///< The connection ended after bytes may have been processed.
    Unauthorised,        ///< The peer or caller is not known.
    Overloaded,          ///< A queue or limit is full.
    Unavailable,         ///< No peer can serve now.
    StaleAuthority,      ///< A newer holder of authority exists.
    StorageFailed,       ///< The data folder cannot be trusted or written.
    Cancelled,           ///< The caller gave up.
    StorageDamaged, ///< The data folder can be read, but what it holds is not what was written.
};

const std::error_category &gentianrampCategory() noexcept;
std::error_code make_error_code(Error error) noexcept;

/// A value or the error that prevented it, with a message for people.
template <typename T>
class Result
{
public:
    Result(T value)
        : m_value(std::move(value))
    { }
    Result(std::error_code error, std::string message = {})
        : m_error(error)
        , m_message(std::move(message))
    { }
    Result(Error error, std::string message = {})
        : Result(make_error_code(error), std::move(message))
    { }

    explicit operator bool() const noexcept { return !m_error; }
    const std::error_code &error() const noexcept { return m_error; }
    const std::string &message() const noexcept { return m_message; }
    const T &value() const &noexcept { return m_value; }
    T &&value() &&noexcept { return std::move(m_value); }
    const T *operator->() const noexcept { return &m_value; }
    const T &operator*() const noexcept { return m_value; }

private:
    T m_value{};
    std::error_code m_error;
    std::string m_message;
};

} // namespace gentianramp

template <>
struct std::is_error_code_enum<gentianramp::Error> : std::true_type
{ };
