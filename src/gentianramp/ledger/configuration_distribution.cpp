#include <gentianramp/ledger/configuration_distribution.hpp>

#include "site_report.hpp"

#include <algorithm>
#include <gentianramp/core/invariant.hpp>
#include <gentianramp/ledger/configuration_delta.hpp>
#include <map>

namespace gentianramp {

namespace {

constexpr Duration MergeDelay = std::chrono::milliseconds(50); ///< Gathers reports from below.
constexpr Duration PauseThreshold = std::chrono::seconds(1);

/// A process that reports to this one.
struct Child
{
    TimePoint lastReport;
    TimePoint lastUpdate; ///< When a newer configuration was last sent to it.
    Duration retry{};     ///< Wait after that; doubles each time.
    DataCentreId dataCentre;
    std::uint64_t revision = 0;
    std::uint64_t digest = 0;
    PlaceRevisions places;
};

/// Step from an earlier revision to the present one.
struct KeptDelta
{
    std::uint64_t base = 0;
    proto::ConfigurationDelta delta;
};

} // namespace

struct ConfigurationDistribution::State
{
    State(DistributionOptions given, TimePoint now)
        : options(std::move(given))
        , parents(distributionParents(options.self, options.members))
        , parentSince(now)
    {
        for (const DistributionMember &member : options.members) {
            if (!sites.contains(member.dataCentre))
                sites[member.dataCentre] = SiteMembers(member.dataCentre, options.members);
            if (member.instance == options.self)
                own = member;
        }
        root = own.control
            && std::none_of(parents.begin(), parents.end(), [&](const InstanceId &parent) {
                   return dataCentreOf(parent) == own.dataCentre;
               });
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
        if (root && leader && *leader != options.self && parentPlace == 0)
            return *leader;
        if (parents.empty())
            return {};
        return parents[parentPlace % parents.size()];
    }

    bool leads() const { return leader == options.self; }

    void send(DistributionOutput &output, const InstanceId &to, const proto::SpreadMessage &message)
    {
        output.messages.push_back({.to = to, .payload = message.SerializeAsString()});
    }

    PlaceRevisions placesOf(const DataCentreId &dataCentre, TimePoint now) const
    {
        PlaceRevisions places;
        for (const auto &[instance, child] : children) {
            if (child.dataCentre == dataCentre && now - child.lastReport < options.silenceLimit)
                mergePlaces(places, child.places);
        }
        if (dataCentre == own.dataCentre)
            places[*sites.at(own.dataCentre).placeOf(options.self)] = current.revision.value();
        return places;
    }

    void report(DistributionOutput &output, TimePoint now)
    {
        mergeDue.reset();
        reportDue = now + reportWait;
        reportWait = std::min(2 * reportWait, options.reportInterval);
        const InstanceId to = parent();
        if (to.value().empty() || leads())
            return;
        proto::SpreadMessage message;
        proto::SpreadReport &report = *message.mutable_report();
        report.set_revision(current.revision.value());
        report.set_digest(digest);
        report.set_data_centre(own.dataCentre.value());
        report.set_members(sites.at(own.dataCentre).digest());
        encodePlaces(placesOf(own.dataCentre, now), report);
        send(output, to, message);
    }

    /// Answers a report, or pushes a newer configuration.
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
            child.retry = std::min(std::max(2 * child.retry, options.retryInterval),
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
        return now - *confirmedAt;
    }

    /// Puts a newer configuration in force here and pushes it to the processes below.
    void accept(DistributionOutput &output, AcceptedConfiguration next, TimePoint now)
    {
        if (!checkInvariant(next.revision > current.revision, "spread.revision_only_grows"))
            return;
        newestDelta = {current.revision.value(), makeDelta(current.bytes, next.bytes)};
        current = next;
        digest = contentDigest(current.bytes);
        output.accepted = std::move(next);
        for (auto &[instance, child] : children) {
            if (now - child.lastReport < options.silenceLimit)
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
        const PlaceRevisions before = child.places;
        child.lastReport = now;
        child.dataCentre = site->first;
        child.revision = report.revision();
        child.digest = report.digest();
        if (report.members() == site->second.digest())
            child.places = decodePlaces(report, site->second.size());
        else if (const auto place = site->second.placeOf(sender))
            child.places = {{*place, report.revision()}};
        checkInvariant(child.revision != current.revision.value() || child.digest == digest,
                       "spread.equal_revisions_are_equal", sender.value());
        if (child.revision >= current.revision.value())
            child.retry = {};
        const bool pushedJustNow = now - child.lastUpdate < child.retry;
        if (!pushedJustNow)
            update(output, sender, child, now);
        if (child.places != before && child.dataCentre == own.dataCentre)
            mergeDue = std::min(mergeDue.value_or(TimePoint::max()), now + MergeDelay);
    }

    void onUpdate(DistributionOutput &output, const InstanceId &sender,
                  const proto::SpreadUpdate &update, TimePoint now)
    {
        if (sender == parent()) {
            parentHeard = now;
            reportWait = options.retryInterval; // For the next report that gets no answer.
            reportDue = std::max(reportDue, now + options.reportInterval);
        }
        if (!update.leader().empty() && !own.voter)
            leader = InstanceId(update.leader());
        if (update.revision() < current.revision.value())
            return;
        if (update.revision() > current.revision.value() && !takeContent(output, update, now))
            return;
        if (update.age_ms() == UINT64_MAX)
            return;
        const TimePoint confirmed = now - std::chrono::milliseconds(update.age_ms());
        if (!confirmedAt || confirmed > *confirmedAt)
            confirmedAt = confirmed;
    }

    bool takeContent(DistributionOutput &output, const proto::SpreadUpdate &update, TimePoint now)
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
            report(output, now); // Says which revision the content is needed for.
            return false;
        }
        accept(output, std::move(next), now);
        return true;
    }

    void chooseParent(TimePoint now)
    {
        if (leads() || now - lastTick > PauseThreshold) {
            parentSince = reportDue = now;
            return;
        }
        if (parentPlace != 0 && now - parentSince >= options.returnInterval) {
            parentPlace = 0;
            parentSince = parentHeard = now;
            return;
        }
        if (now - std::max(parentHeard, parentSince) < options.silenceLimit)
            return;
        ++parentPlace;
        if (parentPlace >= std::max<std::size_t>(parents.size(), 1))
            parentPlace = 0;
        parentSince = now;
        reportDue = now;
    }

    DistributionOptions options;
    DistributionMember own;
    std::vector<InstanceId> parents;
    bool root = false;
    std::map<DataCentreId, SiteMembers> sites;
    std::map<InstanceId, Child> children;
    AcceptedConfiguration current;
    std::uint64_t digest = 0;
    std::optional<KeptDelta> newestDelta;
    std::optional<InstanceId> leader;
    std::optional<TimePoint> confirmedAt;
    std::size_t parentPlace = 0;
    TimePoint parentSince;
    TimePoint parentHeard{};
    TimePoint reportDue{};
    std::optional<TimePoint> mergeDue; ///< Something changed below.
    TimePoint lastTick{};
    Duration reportWait = std::chrono::milliseconds(100);
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
    state.chooseParent(now);
    state.lastTick = now;
    for (auto &[instance, child] : state.children) {
        const bool live = now - child.lastReport < state.options.silenceLimit;
        const bool behind = child.revision < state.current.revision.value();
        if (live && behind && now - child.lastUpdate >= child.retry)
            state.update(output, instance, child, now);
    }
    std::erase_if(state.children, [&](const auto &item) {
        return now - item.second.lastReport >= 2 * state.options.returnInterval;
    });
    if (now >= std::min(state.reportDue, state.mergeDue.value_or(TimePoint::max())))
        state.report(output, now);
    return output;
}

DistributionOutput ConfigurationDistribution::distribute(const AcceptedConfiguration &configuration,
                                                         TimePoint now)
{
    DistributionOutput output;
    if (configuration.revision > m_state->current.revision)
        m_state->accept(output, configuration, now);
    return output;
}

void ConfigurationDistribution::noteLeader(const std::optional<InstanceId> &leader, TimePoint now)
{
    m_state->leader = leader;
    if (leader)
        m_state->confirmedAt = now;
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
    std::map<DataCentreId, PlaceRevisions> places;
    std::map<DataCentreId, TimePoint> heard;
    for (const auto &[dataCentre, site] : m_state->sites)
        places[dataCentre] = m_state->placesOf(dataCentre, now);
    for (const auto &[instance, child] : m_state->children)
        heard[child.dataCentre] = std::max(heard[child.dataCentre], child.lastReport);
    heard[m_state->own.dataCentre] = now;
    std::vector<MemberRevision> revisions;
    for (const DistributionMember &member : m_state->options.members) {
        MemberRevision revision{.member = member};
        const auto place = m_state->sites.at(member.dataCentre).placeOf(member.instance);
        const PlaceRevisions &known = places.at(member.dataCentre);
        if (place && known.contains(*place))
            revision.revision = Revision(known.at(*place));
        if (const auto last = heard.find(member.dataCentre); last != heard.end())
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
