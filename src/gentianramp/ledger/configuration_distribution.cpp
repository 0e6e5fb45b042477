#include <gentianramp/ledger/configuration_distribution.hpp>

#include "site_report.hpp"

#include <algorithm>
#include <gentianramp/core/invariant.hpp>
#include <gentianramp/core/time_order.hpp>
#include <gentianramp/ledger/configuration_delta.hpp>
#include <limits>
#include <map>

namespace gentianramp {

namespace {

/// Greatest age of a confirmation in an update; a greater one says that there is none.
constexpr std::uint64_t MaxAgeMs = std::numeric_limits<std::uint32_t>::max();

constexpr Duration ReportMergeDelay
    = std::chrono::milliseconds(50); ///< Merges reports of several children into one.
/// A longer gap between two ticks means that this process was suspended, not that its parent is
/// unreachable.
constexpr Duration SuspensionThreshold = std::chrono::seconds(1);

/// A process that reports to this one.
struct Child
{
    TimePoint lastReport;
    TimePoint lastUpdate;     ///< Time at which a newer configuration was last sent to it.
    Duration updateBackoff{}; ///< Delay before it is sent again; doubles up to reportInterval.
    DataCentreId dataCentre;
    std::uint64_t revision = 0;
    std::uint64_t digest = 0;
    RevisionsByIndex revisions;
};

/// Delta from an earlier revision to the current one.
struct RevisionDelta
{
    std::uint64_t base = 0;
    proto::ConfigurationDelta delta;
};

} // namespace

struct ConfigurationDistribution::State
{
    State(DistributionOptions distributionOptions, TimePoint now)
        : options(std::move(distributionOptions))
        , parents(distributionParents(options.self, options.members))
        , parentChosenAt(now)
    {
        for (const DistributionMember &member : options.members) {
            if (!sites.contains(member.dataCentre))
                sites[member.dataCentre] = SiteIndex(member.dataCentre, options.members);
            if (member.instance == options.self)
                own = member;
        }
        root = own.control
            && std::none_of(parents.begin(), parents.end(), [&](const InstanceId &parent) {
                   return dataCentreOf(parent) == own.dataCentre;
               });
    }

    TimePoint advance(TimePoint now)
    {
        latest = latestTime(latest, now, "spread.time_never_goes_back");
        return latest;
    }

    DataCentreId dataCentreOf(const InstanceId &instance) const
    {
        for (const DistributionMember &member : options.members) {
            if (member.instance == instance)
                return member.dataCentre;
        }
        return {};
    }

    /// The process to report to; empty when there is none.
    InstanceId parent() const
    {
        if (root && leader && *leader != options.self && parentIndex == 0)
            return *leader;
        if (parents.empty())
            return {};
        return parents[parentIndex % parents.size()];
    }

    bool leads() const { return leader == options.self; }

    void send(DistributionOutput &output, const InstanceId &to, const proto::SpreadMessage &message)
    {
        output.messages.push_back({.to = to, .payload = message.SerializeAsString()});
    }

    RevisionsByIndex revisionsIn(const DataCentreId &dataCentre, TimePoint now) const
    {
        RevisionsByIndex revisions;
        for (const auto &[instance, child] : children) {
            if (child.dataCentre == dataCentre && now - child.lastReport < options.contactTimeout)
                mergeRevisions(revisions, child.revisions);
        }
        if (dataCentre == own.dataCentre)
            revisions[*sites.at(own.dataCentre).indexOf(options.self)] = current.revision.value();
        return revisions;
    }

    void report(DistributionOutput &output, TimePoint now)
    {
        mergedReportAt.reset();
        nextReportAt = now + reportBackoff;
        reportBackoff = std::min(2 * reportBackoff, options.reportInterval);
        const InstanceId to = parent();
        if (to.value().empty() || leads())
            return;
        proto::SpreadMessage message;
        proto::SpreadReport &report = *message.mutable_report();
        report.set_revision(current.revision.value());
        report.set_digest(digest);
        report.set_data_centre(own.dataCentre.value());
        report.set_members(sites.at(own.dataCentre).digest());
        encodeRevisions(revisionsIn(own.dataCentre, now), report);
        send(output, to, message);
    }

    /// Sends an update: the answer to a report, or a newer configuration without a request.
    void update(DistributionOutput &output, const InstanceId &to, Child &child, TimePoint now)
    {
        proto::SpreadMessage message;
        proto::SpreadUpdate &update = *message.mutable_update();
        update.set_revision(current.revision.value());
        const std::optional<Duration> currentAge = age(now);
        update.set_age_ms(currentAge ? static_cast<std::uint64_t>(toMilliseconds(*currentAge))
                                     : UINT64_MAX);
        if (leader)
            update.set_leader(leader->value());
        if (child.revision < current.revision.value()) {
            addContent(update, child.revision);
            child.lastUpdate = now;
            child.updateBackoff = std::min(std::max(2 * child.updateBackoff, options.retryInterval),
                                           options.reportInterval);
        }
        send(output, to, message);
    }

    void addContent(proto::SpreadUpdate &update, std::uint64_t from) const
    {
        if (newestDelta && newestDelta->base == from) {
            update.set_base_revision(from);
            *update.mutable_delta() = newestDelta->delta;
            return;
        }
        update.set_whole(true);
        update.set_configuration(current.bytes);
    }

    std::optional<Duration> age(TimePoint now) const
    {
        if (!confirmedAt)
            return std::nullopt;
        return ageOf(*confirmedAt, now, "spread.confirmation_not_after_now");
    }

    /// Puts a newer configuration in force here and sends it to the live children.
    void accept(DistributionOutput &output, AcceptedConfiguration next, TimePoint now)
    {
        if (!checkInvariant(next.revision > current.revision, "spread.revision_only_grows"))
            return;
        newestDelta = {current.revision.value(), makeDelta(current.bytes, next.bytes)};
        current = next;
        digest = contentDigest(current.bytes);
        output.accepted = std::move(next);
        for (auto &[instance, child] : children) {
            if (now - child.lastReport < options.contactTimeout)
                update(output, instance, child, now);
        }
        report(output, now);
    }

    void onReport(DistributionOutput &output, const InstanceId &sender,
                  const proto::SpreadReport &report, TimePoint now)
    {
        const auto site = sites.find(DataCentreId(report.data_centre()));
        if (site == sites.end())
            return;
        Child &child = children[sender];
        const RevisionsByIndex before = child.revisions;
        child.lastReport = now;
        child.dataCentre = site->first;
        child.revision = report.revision();
        child.digest = report.digest();
        if (report.members() == site->second.digest())
            child.revisions = decodeRevisions(report, site->second.size());
        else if (const auto index = site->second.indexOf(sender))
            child.revisions = {{*index, report.revision()}};
        checkInvariant(child.revision != current.revision.value() || child.digest == digest,
                       "spread.equal_revisions_are_equal", sender.value());
        if (child.revision >= current.revision.value())
            child.updateBackoff = {};
        const bool pushedJustNow = now - child.lastUpdate < child.updateBackoff;
        if (!pushedJustNow)
            update(output, sender, child, now);
        if (child.revisions != before && child.dataCentre == own.dataCentre)
            mergedReportAt
                = std::min(mergedReportAt.value_or(TimePoint::max()), now + ReportMergeDelay);
    }

    void onUpdate(DistributionOutput &output, const InstanceId &sender,
                  const proto::SpreadUpdate &update, TimePoint now)
    {
        if (sender == parent()) {
            parentLastContact = now;
            // The parent answers, so the back-off of unanswered reports starts again.
            reportBackoff = options.retryInterval;
            nextReportAt = std::max(nextReportAt, now + options.reportInterval);
        }
        if (!update.leader().empty() && !own.voter)
            leader = InstanceId(update.leader());
        if (update.revision() < current.revision.value())
            return;
        if (update.revision() > current.revision.value() && !applyUpdate(output, update, now))
            return;
        if (update.age_ms() > MaxAgeMs)
            return;
        const TimePoint confirmed = now - std::chrono::milliseconds(update.age_ms());
        if (!confirmedAt || confirmed > *confirmedAt)
            confirmedAt = confirmed;
    }

    bool applyUpdate(DistributionOutput &output, const proto::SpreadUpdate &update, TimePoint now)
    {
        AcceptedConfiguration next{.revision = Revision(update.revision())};
        if (update.whole()) {
            next.bytes = update.configuration();
        } else if (update.has_delta() && update.base_revision() == current.revision.value()) {
            Result<std::string> bytes = applyDelta(current.bytes, update.delta());
            if (!bytes) {
                ++malformed;
                return false;
            }
            next.bytes = std::move(bytes).value();
        } else {
            // The report tells the parent the revision in force here, to send suitable content.
            report(output, now);
            return false;
        }
        accept(output, std::move(next), now);
        return true;
    }

    void chooseParent(TimePoint now)
    {
        if (leads() || now - lastTick > SuspensionThreshold) {
            parentChosenAt = nextReportAt = now;
            return;
        }
        if (parentIndex != 0 && now - parentChosenAt >= options.preferredParentRetryInterval) {
            parentIndex = 0;
            parentChosenAt = parentLastContact = now;
            return;
        }
        if (now - std::max(parentLastContact, parentChosenAt) < options.contactTimeout)
            return;
        ++parentIndex;
        if (parentIndex >= std::max<std::size_t>(parents.size(), 1))
            parentIndex = 0;
        parentChosenAt = now;
        nextReportAt = now;
    }

    DistributionOptions options;
    DistributionMember own;
    std::vector<InstanceId> parents;
    bool root = false;
    std::map<DataCentreId, SiteIndex> sites;
    std::map<InstanceId, Child> children;
    AcceptedConfiguration current;
    std::uint64_t digest = 0;
    std::optional<RevisionDelta> newestDelta;
    std::optional<InstanceId> leader;
    std::optional<TimePoint> confirmedAt;
    std::size_t parentIndex = 0;
    TimePoint parentChosenAt;
    TimePoint parentLastContact{};
    TimePoint nextReportAt{};
    std::optional<TimePoint> mergedReportAt; ///< Set when a child's report changed the revisions.
    TimePoint latest{};                      ///< Of the times of all calls.
    TimePoint lastTick{};
    /// Delay until an unanswered report is repeated; doubles up to reportInterval.
    Duration reportBackoff = std::chrono::milliseconds(100);
    std::uint64_t malformed = 0;
};

ConfigurationDistribution::ConfigurationDistribution(DistributionOptions options, TimePoint now)
    : m_state(std::make_unique<State>(std::move(options), now))
{ }

ConfigurationDistribution::~ConfigurationDistribution() = default;

DistributionOutput ConfigurationDistribution::onMessage(const InstanceId &sender,
                                                        std::string_view payload, TimePoint now)
{
    DistributionOutput output;
    now = m_state->advance(now);
    proto::SpreadMessage message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
        ++m_state->malformed;
    else if (message.has_report())
        m_state->onReport(output, sender, message.report(), now);
    else if (message.has_update())
        m_state->onUpdate(output, sender, message.update(), now);
    return output;
}

DistributionOutput ConfigurationDistribution::tick(TimePoint now)
{
    State &state = *m_state;
    DistributionOutput output;
    now = state.advance(now);
    state.chooseParent(now);
    state.lastTick = now;
    for (auto &[instance, child] : state.children) {
        const bool live = now - child.lastReport < state.options.contactTimeout;
        const bool behind = child.revision < state.current.revision.value();
        if (live && behind && now - child.lastUpdate >= child.updateBackoff)
            state.update(output, instance, child, now);
    }
    std::erase_if(state.children, [&](const auto &item) {
        return now - item.second.lastReport >= 2 * state.options.preferredParentRetryInterval;
    });
    if (now >= std::min(state.nextReportAt, state.mergedReportAt.value_or(TimePoint::max())))
        state.report(output, now);
    return output;
}

DistributionOutput ConfigurationDistribution::distribute(const AcceptedConfiguration &configuration,
                                                         TimePoint now)
{
    DistributionOutput output;
    now = m_state->advance(now);
    if (configuration.revision > m_state->current.revision)
        m_state->accept(output, configuration, now);
    return output;
}

void ConfigurationDistribution::noteLeader(const std::optional<InstanceId> &leader,
                                           std::optional<TimePoint> confirmedAt)
{
    m_state->leader = leader;
    m_state->confirmedAt = std::max(m_state->confirmedAt, confirmedAt);
}

const AcceptedConfiguration &ConfigurationDistribution::current() const
{
    return m_state->current;
}

std::optional<Duration> ConfigurationDistribution::age(TimePoint now) const
{
    return m_state->age(now);
}

std::optional<InstanceId> ConfigurationDistribution::leader() const
{
    return m_state->leader;
}

InstanceId ConfigurationDistribution::parent() const
{
    return m_state->parent();
}

std::vector<MemberRevision> ConfigurationDistribution::members(TimePoint now) const
{
    std::map<DataCentreId, RevisionsByIndex> revisionsBySite;
    std::map<DataCentreId, TimePoint> lastContacts;
    for (const auto &[dataCentre, site] : m_state->sites)
        revisionsBySite[dataCentre] = m_state->revisionsIn(dataCentre, now);
    for (const auto &[instance, child] : m_state->children)
        lastContacts[child.dataCentre] = std::max(lastContacts[child.dataCentre], child.lastReport);
    lastContacts[m_state->own.dataCentre] = now;
    std::vector<MemberRevision> revisions;
    for (const DistributionMember &member : m_state->options.members) {
        MemberRevision revision{.member = member};
        const auto index = m_state->sites.at(member.dataCentre).indexOf(member.instance);
        const RevisionsByIndex &known = revisionsBySite.at(member.dataCentre);
        if (index && known.contains(*index))
            revision.revision = Revision(known.at(*index));
        if (const auto last = lastContacts.find(member.dataCentre); last != lastContacts.end())
            revision.age = now - last->second;
        revisions.push_back(std::move(revision));
    }
    return revisions;
}

std::uint64_t ConfigurationDistribution::malformed() const
{
    return m_state->malformed;
}

} // namespace gentianramp
