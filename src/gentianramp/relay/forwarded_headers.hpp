#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace gentianramp {

/// Whether a header field concerns one connection only.
bool isHopByHop(std::string_view name);
/// Whether the Connection field @p connection lists the header.
bool listedInConnection(std::string_view connection, std::string_view name);

/// Headers between instances, on a request that is handed over and on its answer.
namespace instance_headers {
constexpr const char *Verdict = "Gentianramp-Verdict"; ///< Whether the request ran.
constexpr const char *Backend = "Gentianramp-Backend"; ///< The server that answers.
constexpr const char *Service = "Gentianramp-Service"; ///< Of that server.
constexpr const char *Version = "Gentianramp-Version"; ///< Of that server's software.
/// The instance refused because servers of the service do not answer it.
constexpr const char *LacksServers = "Gentianramp-Lacks-Servers";
/// The instance sent the request, or its prefill, to a server before it refused.
constexpr const char *WasSent = "Gentianramp-Was-Sent";
/// Backend servers that the request may still be sent to.
constexpr const char *Attempts = "Gentianramp-Attempts";
/// Customer of the caller; empty: on a public route, without a known key.
constexpr const char *Customer = "Gentianramp-Customer";
/// Number of the declaration by which the sender decides the request.
constexpr const char *Declaration = "Gentianramp-Declaration";
/// The instance that hands the request over.
constexpr const char *Instance = "Gentianramp-Instance";
/// Asks for the declaration in force; not a caller's request.
constexpr const char *WantsDeclaration = "Gentianramp-Wants-Declaration";
} // namespace instance_headers

bool isInstanceHeader(std::string_view name);
/// The decimal number that a field consists of; empty if it is none.
std::optional<std::uint64_t> parseNumber(std::string_view text);

} // namespace gentianramp
