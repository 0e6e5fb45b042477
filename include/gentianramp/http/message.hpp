#pragma once

#include <cstddef>
#include <memory>
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

/// Header fields in the order of the message; names are compared case-insensitively.
class HttpHeaders
{
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<HttpHeader> fields)
        : m_fields(fields)
    { }

    void add(std::string name, std::string value);
    /// Replaces all fields of that name with one field.
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

class MemoryLease;

/// A complete request.
struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/"; ///< Path with an optional query.
    HttpHeaders headers;
    std::string body;
    /// Room that the request takes of the server's MemoryBudget, kept as long as the request or its
    /// body; empty for one that is small or was not read by a server.
    std::shared_ptr<MemoryLease> lease;
    bool operator==(const HttpRequest &) const = default;

    /// The target without its query.
    std::string_view path() const noexcept;
};

/// A complete response, or only its head when the body is streamed.
struct HttpResponse
{
    unsigned status = 200;
    HttpHeaders headers;
    std::string body;
    bool operator==(const HttpResponse &) const = default;
};

/// Compares two header field names case-insensitively.
bool sameHeaderName(std::string_view left, std::string_view right) noexcept;

} // namespace gentianramp
