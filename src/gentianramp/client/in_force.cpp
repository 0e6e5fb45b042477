#include <algorithm>
#include <gentianramp/client/in_force.hpp>

namespace gentianramp {

namespace {

constexpr Duration PollInterval = std::chrono::milliseconds(250);

SiteState stateOf(Revision revision, const proto::SiteStatus &site)
{
    if (!site.reachable())
        return SiteState::CutOff;
    const bool complete = site.reporting() >= site.processes();
    const bool newEnough = site.processes() == 0 || site.oldest_revision() >= revision.value();
    return complete && newEnough ? SiteState::InForce : SiteState::Behind;
}

} // namespace

std::string_view toString(SiteState state)
{
    switch (state) {
    case SiteState::InForce:
        return "in force";
    case SiteState::Behind:
        return "behind";
    case SiteState::CutOff:
        return "cut off";
    }
    return "cut off";
}

std::vector<SiteProgress> progressOf(Revision revision, const proto::StatusAnswer &status)
{
    std::vector<SiteProgress> progress;
    for (const proto::SiteStatus &site : status.sites()) {
        SiteProgress entry;
        entry.site = DataCentreId(site.data_centre());
        entry.state = stateOf(revision, site);
        entry.currentCount = site.in_force();
        entry.processCount = site.processes();
        entry.oldestRevision = Revision(site.oldest_revision());
        entry.reportAgeMs = site.age_ms();
        progress.push_back(std::move(entry));
    }
    return progress;
}

bool isInForceEverywhere(Revision revision, const proto::StatusAnswer &status)
{
    if (!status.confirmed() || status.revision() < revision.value() || status.sites().empty())
        return false;
    const auto sites = progressOf(revision, status);
    return std::all_of(sites.begin(), sites.end(),
                       [](const SiteProgress &site) { return site.state == SiteState::InForce; });
}

CallResult waitUntilInForce(OperatorClient &client, Revision revision, TimePoint deadline,
                            const std::function<void(Duration)> &pause)
{
    CallResult last;
    for (;;) {
        proto::OperatorRequest request;
        request.mutable_status();
        CallResult result = client.call(request);
        if (result.outcome == CallOutcome::Answered || last.outcome != CallOutcome::Answered)
            last = std::move(result);
        const bool inForce = last.outcome == CallOutcome::Answered
            && isInForceEverywhere(revision, last.answer.status());
        if (inForce || RuntimeClock::now() >= deadline)
            return last;
        pause(PollInterval);
    }
}

} // namespace gentianramp
