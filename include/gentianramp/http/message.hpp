#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// One header field of an HTTP message.
struct HttpHeader
{
    std::string name;
    std::string value;
    auto operator<=>(const HttpHeader &) const = default;
};

/// Header fields in the order of the message; names compare without regard to case.
class HttpHeaders
{
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<HttpHeader> fields)
        : m_fields(fields)
    { }

    void add(std::string name, std::string value);
    /// Replaces all fields of that name by one.
    void set(std::string name, std::string value);
    void remove(std::string_view name);
    /// Value of the first field of that name; empty when there is none.
    std::string_view find(std::string_view name) const noexcept;
    bool contains(std::string_view name) const noexcept;
    const std::vector<HttpHeader> &fields() const noexcept { return m_fields; }

    bool operator==(const HttpHeaders &) const = default;

private:
    std::vector<HttpHeader> m_fields;
};

/// A whole request.
struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/"; ///< Path with an optional query.
    HttpHeaders headers;
    std::string body;
    bool operator==(const HttpRequest &) const = default;

    /// The target without its query.
    std::string_view path() const noexcept;
};

/// A whole response, or its head when the body is streamed.
struct HttpResponse
{
    unsigned status = 200;
    HttpHeaders headers;
    std::string body;
    bool operator==(const HttpResponse &) const = default;
};

/// True when the names of two header fields are the same.
bool sameHeaderName(std::string_view left, std::string_view right) noexcept;

} // namespace gentianramp
