#include "sections.hpp"

#include <boost/asio/ip/address.hpp>

namespace gentianramp {

namespace {

constexpr std::uint16_t MinPort = 1;
constexpr std::uint16_t MaxPort = 65535;
constexpr std::uint32_t MaxSlotCount = 4096;
constexpr double MinTokensPerSecond = 0.001;
constexpr double MaxTokensPerSecond = 1e9;

std::string addressCheck(const std::string &host)
{
    boost::system::error_code failure;
    boost::asio::ip::make_address(host, failure);
    return failure ? "an IP address" : "";
}

} // namespace

const FieldTable<BackendDeclaration> &backendFields()
{
    using Backend = BackendDeclaration;
    static const FieldTable<Backend> table{
        field("id", &Backend::id, Need::Required, ValueCheck<BackendId>(nameCheck<BackendId>)),
        field("service", &Backend::service, Need::Required),
        field("host", &Backend::host, Need::Required, ValueCheck<std::string>(addressCheck)),
        field("port", &Backend::port, Need::Required, between(MinPort, MaxPort)),
        field("role", &Backend::role),
        field("checks_fencing", &Backend::checksFencing),
        field("slots", &Backend::slots, Need::Optional, between(1U, MaxSlotCount)),
        field("prefill_tokens_per_second", &Backend::prefillTokensPerSecond, Need::Optional,
              between(MinTokensPerSecond, MaxTokensPerSecond)),
        field("decode_tokens_per_second", &Backend::decodeTokensPerSecond, Need::Optional,
              between(MinTokensPerSecond, MaxTokensPerSecond)),
        field("drained", &Backend::drained),
    };
    return table;
}

} // namespace gentianramp
