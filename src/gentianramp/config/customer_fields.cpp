#include "sections.hpp"

#include <algorithm>

namespace gentianramp {

namespace {

constexpr std::size_t HashHexLength = 64;
constexpr double MaxRatePerSecond = 1e12;

bool isHash(const std::string &text)
{
    return text.size() == HashHexLength
        && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

std::string keysCheck(const std::vector<std::string> &keys)
{
    if (!keys.empty() && std::all_of(keys.begin(), keys.end(), isHash))
        return {};
    return "at least one SHA-256 of 64 lower-case hex digits";
}

} // namespace

const FieldTable<CustomerDeclaration> &customerFields()
{
    using Customer = CustomerDeclaration;
    static const FieldTable<Customer> table{
        field("id", &Customer::id, Need::Required, ValueCheck<CustomerId>(nameCheck<CustomerId>)),
        field("key_sha256", &Customer::keySha256, Need::Required,
              ValueCheck<std::vector<std::string>>(keysCheck)),
        field("requests_per_second", &Customer::requestsPerSecond, Need::Optional,
              between(0.0, MaxRatePerSecond)),
        field("tokens_per_second", &Customer::tokensPerSecond, Need::Optional,
              between(0.0, MaxRatePerSecond)),
        field("services", &Customer::services),
    };
    return table;
}

} // namespace gentianramp
