#include <gentianramp/declaration/customer_keys.hpp>

#include <algorithm>
#include <cctype>
#include <gentianramp/core/digest.hpp>

namespace gentianramp {

namespace {

constexpr std::string_view Scheme = "bearer";

} // namespace

std::string_view bearerKey(std::string_view authorization)
{
    const std::size_t space = authorization.find(' ');
    const std::string_view scheme = authorization.substr(0, space);
    const bool isBearer = std::equal(scheme.begin(), scheme.end(), Scheme.begin(), Scheme.end(),
                                     [](unsigned char found, unsigned char expected) {
                                         return std::tolower(found) == expected;
                                     });
    if (space == std::string_view::npos || !isBearer)
        return {};
    const std::size_t begin = authorization.find_first_not_of(' ', space);
    return begin == std::string_view::npos ? std::string_view() : authorization.substr(begin);
}

void CustomerKeys::add(std::string_view key, std::size_t customer)
{
    addDigest(sha256Hex({key}), customer);
}

void CustomerKeys::addDigest(std::string digest, std::size_t customer)
{
    m_customers.insert_or_assign(std::move(digest), customer);
}

std::optional<std::size_t> CustomerKeys::find(std::string_view key) const
{
    if (key.empty())
        return std::nullopt;
    const auto found = m_customers.find(sha256Hex({key}));
    return found == m_customers.end() ? std::nullopt : std::optional(found->second);
}

} // namespace gentianramp
