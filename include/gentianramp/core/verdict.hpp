#pragma once

#include <optional>
#include <string_view>

namespace gentianramp {

/// Says whether a request may have run on a backend server.
enum class Verdict {
    NotRun,     ///< No backend server can have processed any byte of the request.
    MayHaveRun, ///< A backend server may have run the request, wholly or in part.
    Complete,   ///< The request ran and its whole answer was delivered.
};

/// Name of @p verdict as it stands in the response header.
std::string_view toString(Verdict verdict);

/// Parses the value of the response header; empty when it is no verdict.
std::optional<Verdict> parseVerdict(std::string_view text);

} // namespace gentianramp
