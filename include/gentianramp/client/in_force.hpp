#pragma once

#include <functional>
#include <gentianramp/client/operator_client.hpp>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// What is known of a revision at one site.
enum class SiteState {
    InForce, ///< Every expected process reported this revision or a later one.
    Behind,  ///< Some processes reported an earlier one or did not report.
    CutOff,  ///< No report came within the silence limit.
};

std::string_view toString(SiteState state);

/// State of @p revision at one site.
struct SiteProgress
{
    DataCentreId site;
    SiteState state = SiteState::CutOff;
    std::uint32_t inForce = 0; ///< Processes that hold the current revision.
    std::uint32_t processes = 0;
    Revision oldest; ///< Smallest revision among those that report.
    std::uint64_t ageMs = 0;
    bool operator==(const SiteProgress &) const = default;
};

/// Reads the progress of @p revision from an answer of the leader.
std::vector<SiteProgress> progressOf(Revision revision, const proto::StatusAnswer &status);

/// True when every site has the revision and the leader was confirmed for the answer.
bool isInForceEverywhere(Revision revision, const proto::StatusAnswer &status);

/// Asks for the status until the revision is in force everywhere or @p deadline has passed.
/// Returns the last answer that was had; none when nobody answered. @p pause waits between asks.
CallResult waitUntilInForce(OperatorClient &client, Revision revision, TimePoint deadline,
                            const std::function<void(Duration)> &pause);

} // namespace gentianramp
