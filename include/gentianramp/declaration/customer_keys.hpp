#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace gentianramp {

/// The key in the value of an Authorization field with the scheme Bearer; empty if there is none.
std::string_view bearerKey(std::string_view authorization);

/// Finds the customer that holds a key. Keeps digests of the keys only.
class CustomerKeys
{
public:
    /// @p customer is what find() returns for the key.
    void add(std::string_view key, std::size_t customer);
    /// Adds a key by its SHA-256 in lower-case hexadecimal.
    void addDigest(std::string digest, std::size_t customer);
    /// Empty if no customer holds the key.
    std::optional<std::size_t> find(std::string_view key) const;

private:
    std::unordered_map<std::string, std::size_t> m_customers; ///< By digest of the key.
};

} // namespace gentianramp
