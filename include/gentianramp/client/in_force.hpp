#pragma once

#include <functional>
#include <gentianramp/client/operator_client.hpp>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// State of a revision at one site, as last reported to the leader.
enum class SiteState {
    InForce, ///< Every expected process reported this revision or a later one.
    Behind,  ///< Some processes reported an earlier revision or did not report.
    CutOff,  ///< The leader has no recent report from the site.
};

std::string_view toString(SiteState state);

/// State of a revision at one site, and the reports that it is derived from.
struct SiteProgress
{
    DataCentreId site;
    SiteState state = SiteState::CutOff;
    std::uint32_t currentCount = 0; ///< Processes that hold the ledger's current revision.
    std::uint32_t processCount = 0; ///< Processes at the site according to the settings.
    Revision oldestRevision;        ///< Smallest revision in force among the processes that report.
    std::uint64_t reportAgeMs = 0;  ///< Time since the last report.
    bool operator==(const SiteProgress &) const = default;
};

/// Derives the state of @p revision at each site from an answer of the leader.
std::vector<SiteProgress> progressOf(Revision revision, const proto::StatusAnswer &status);

/// True when @p revision is in force at every site and a majority of the voters confirmed the
/// leader that sent @p status.
bool isInForceEverywhere(Revision revision, const proto::StatusAnswer &status);

/// Polls the status until the revision is in force everywhere or @p deadline has passed, and calls
/// @p pause between two polls. Returns the result of the last poll that was answered; when none
/// was, the result of the last poll.
CallResult waitUntilInForce(OperatorClient &client, Revision revision, TimePoint deadline,
                            const std::function<void(Duration)> &pause);

} // namespace gentianramp
