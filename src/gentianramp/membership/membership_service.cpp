#include <gentianramp/membership/membership_service.hpp>

#include <algorithm>
#include <gentianramp/core/time_order.hpp>
#include <gentianramp/membership/generated/membership.pb.h>
#include <limits>
#include <map>
#include <set>
#include <utility>

namespace gentianramp {

namespace {

/// Time for which a process counts as leaving after the platform last listed it so.
constexpr Duration PlatformLeavingTimeout = std::chrono::minutes(2);
/// Greatest age in a digest.
constexpr std::int64_t MaxAgeMs = std::numeric_limits<std::uint32_t>::max();

MemberState fromCode(proto::MemberStateCode code)
{
    switch (code) {
    case proto::MEMBER_ALIVE:
        return MemberState::Alive;
    case proto::MEMBER_SUSPECTED:
        return MemberState::Suspected;
    case proto::MEMBER_LEAVING:
        return MemberState::Leaving;
    default:
        return MemberState::Unknown;
    }
}

proto::MemberStateCode toCode(MemberState state)
{
    return static_cast<proto::MemberStateCode>(state);
}

/// Last heartbeat of one process.
struct LastHeartbeat
{
    Incarnation incarnation;
    TimePoint lastAt;
    bool leaving = false;
};

/// Last report on a data centre, created by one of its relays.
struct SiteReport
{
    TimePoint createdAt; ///< On the own clock; a later report replaces an earlier one.
    std::map<InstanceId, MemberState> exceptions;
};

} // namespace

std::string_view toString(MemberState state)
{
    switch (state) {
    case MemberState::Unknown:
        return "unknown";
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspected:
        return "suspected";
    case MemberState::Leaving:
        return "leaving";
    }
    return "unknown";
}

struct MembershipService::State
{
    State(MembershipOptions membershipOptions, MembershipSendHook sendHook, TimePoint now)
        : options(std::move(membershipOptions))
        , send(std::move(sendHook))
        , startedAt(now)
    {
        for (const PlacedInstance &placed : options.instances) {
            siteOf[placed.instance] = placed.dataCentre;
            sites.insert(placed.dataCentre);
        }
        for (const DataCentreId &site : sites)
            relaysOf[site] = replicaGroup("relay", site, relayCandidatesIn(site), RelayCount);
    }

    TimePoint advance(TimePoint now)
    {
        latest = latestTime(latest, now, "membership.time_never_goes_back");
        return latest;
    }

    std::vector<PlacedInstance> relayCandidatesIn(const DataCentreId &site) const;
    bool isRelayOf(const DataCentreId &site) const;
    void onDigest(const proto::MembershipDigest &digest, TimePoint now);
    void sendHeartbeats();
    void sendDigests(TimePoint now);
    proto::SiteDigest digestOf(const DataCentreId &site, TimePoint now) const;
    MemberState stateFromHeartbeat(const InstanceId &instance, TimePoint now) const;
    MemberState stateFromReport(const InstanceId &instance, const DataCentreId &site,
                                TimePoint now) const;

    MembershipOptions options;
    MembershipSendHook send;
    TimePoint startedAt;
    TimePoint nextHeartbeatAt;
    TimePoint nextDigestAt;
    bool leaving = false;
    std::map<InstanceId, DataCentreId> siteOf;
    std::set<DataCentreId> sites;
    std::map<DataCentreId, std::vector<InstanceId>> relaysOf;
    std::map<InstanceId, LastHeartbeat> lastHeartbeats;
    std::map<DataCentreId, SiteReport> siteReports;
    std::map<InstanceId, TimePoint> platformLeaving;
    std::uint64_t malformed = 0;
    TimePoint latest{}; ///< Of the times of all calls.
};

std::vector<PlacedInstance>
MembershipService::State::relayCandidatesIn(const DataCentreId &site) const
{
    std::vector<PlacedInstance> candidates;
    std::copy_if(options.relayCandidates.begin(), options.relayCandidates.end(),
                 std::back_inserter(candidates),
                 [&site](const PlacedInstance &placed) { return placed.dataCentre == site; });
    return candidates;
}

bool MembershipService::State::isRelayOf(const DataCentreId &site) const
{
    const auto found = relaysOf.find(site);
    return found != relaysOf.end()
        && std::find(found->second.begin(), found->second.end(), options.self)
        != found->second.end();
}

void MembershipService::State::onDigest(const proto::MembershipDigest &digest, TimePoint now)
{
    for (const proto::SiteDigest &site : digest.sites()) {
        const DataCentreId id(site.data_centre());
        const TimePoint createdAt = now - std::chrono::milliseconds(site.age_ms());
        const auto known = siteReports.find(id);
        if (!sites.contains(id)
            || (known != siteReports.end() && createdAt <= known->second.createdAt))
            continue;
        SiteReport report{.createdAt = createdAt, .exceptions = {}};
        for (const proto::MemberException &exception : site.exceptions())
            report.exceptions[InstanceId(exception.instance())] = fromCode(exception.state());
        siteReports[id] = std::move(report);
    }
}

void MembershipService::State::sendHeartbeats()
{
    proto::MembershipMessage message;
    message.mutable_beat()->set_leaving(leaving);
    const std::string payload = message.SerializeAsString();
    for (const InstanceId &relay : relaysOf[options.dataCentre]) {
        if (relay != options.self)
            send(relay, payload);
    }
}

proto::SiteDigest MembershipService::State::digestOf(const DataCentreId &site, TimePoint now) const
{
    proto::SiteDigest digest;
    digest.set_data_centre(site.value());
    if (!isRelayOf(site)) {
        const SiteReport &known = siteReports.at(site);
        const auto age = ageOf(known.createdAt, now, "membership.digest_not_after_now");
        digest.set_age_ms(static_cast<std::uint32_t>(
            std::min<std::int64_t>(age ? toMilliseconds(*age) : MaxAgeMs, MaxAgeMs)));
        for (const auto &[instance, state] : known.exceptions) {
            proto::MemberException &added = *digest.add_exceptions();
            added.set_instance(instance.value());
            added.set_state(toCode(state));
        }
        return digest;
    }
    for (const auto &[instance, instanceSite] : siteOf) {
        const MemberState state
            = instanceSite == site ? stateFromHeartbeat(instance, now) : MemberState::Alive;
        if (state == MemberState::Alive)
            continue;
        proto::MemberException &added = *digest.add_exceptions();
        added.set_instance(instance.value());
        added.set_state(toCode(state));
    }
    return digest;
}

void MembershipService::State::sendDigests(TimePoint now)
{
    proto::MembershipMessage own;
    *own.mutable_digest()->add_sites() = digestOf(options.dataCentre, now);
    const std::string toRelays = own.SerializeAsString();
    for (const auto &[site, relays] : relaysOf) {
        for (const InstanceId &relay : relays) {
            if (site != options.dataCentre)
                send(relay, toRelays);
        }
    }
    proto::MembershipMessage all = own;
    for (const auto &[site, known] : siteReports) {
        if (site != options.dataCentre && now - known.createdAt < options.unknownTimeout)
            *all.mutable_digest()->add_sites() = digestOf(site, now);
    }
    const std::string toMembers = all.SerializeAsString();
    for (const auto &[instance, site] : siteOf) {
        if (site == options.dataCentre && instance != options.self)
            send(instance, toMembers);
    }
}

MemberState MembershipService::State::stateFromHeartbeat(const InstanceId &instance,
                                                         TimePoint now) const
{
    if (instance == options.self)
        return leaving ? MemberState::Leaving : MemberState::Alive;
    const auto lastHeartbeat = lastHeartbeats.find(instance);
    const TimePoint lastAt
        = lastHeartbeat == lastHeartbeats.end() ? startedAt : lastHeartbeat->second.lastAt;
    const bool silent = now - lastAt >= options.suspectTimeout;
    if (silent)
        return MemberState::Suspected;
    if (lastHeartbeat == lastHeartbeats.end())
        return MemberState::Unknown;
    return lastHeartbeat->second.leaving || platformLeaving.contains(instance)
        ? MemberState::Leaving
        : MemberState::Alive;
}

MemberState MembershipService::State::stateFromReport(const InstanceId &instance,
                                                      const DataCentreId &site, TimePoint now) const
{
    const auto known = siteReports.find(site);
    if (known == siteReports.end() || now - known->second.createdAt >= options.unknownTimeout)
        return MemberState::Unknown;
    const auto exception = known->second.exceptions.find(instance);
    if (exception != known->second.exceptions.end())
        return exception->second;
    return platformLeaving.contains(instance) ? MemberState::Leaving : MemberState::Alive;
}

MembershipService::MembershipService(MembershipOptions options, MembershipSendHook send,
                                     TimePoint now)
    : m_state(std::make_unique<State>(std::move(options), std::move(send), now))
{ }

MembershipService::~MembershipService() = default;

void MembershipService::onMessage(const InstanceId &sender, Incarnation incarnation,
                                  std::string_view payload, TimePoint now)
{
    State &state = *m_state;
    now = state.advance(now);
    proto::MembershipMessage message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        ++state.malformed;
        return;
    }
    if (message.has_digest())
        state.onDigest(message.digest(), now);
    if (!message.has_beat())
        return;
    LastHeartbeat &lastHeartbeat = state.lastHeartbeats[sender];
    if (incarnation < lastHeartbeat.incarnation)
        return;
    if (incarnation > lastHeartbeat.incarnation)
        state.platformLeaving.erase(sender); // The mark was for an earlier incarnation.
    lastHeartbeat
        = {.incarnation = incarnation, .lastAt = now, .leaving = message.beat().leaving()};
}

void MembershipService::tick(TimePoint now)
{
    State &state = *m_state;
    now = state.advance(now);
    std::erase_if(state.platformLeaving, [now](const auto &hint) { return hint.second <= now; });
    if (now >= state.nextHeartbeatAt) {
        state.nextHeartbeatAt = now + state.options.heartbeatInterval;
        state.sendHeartbeats();
    }
    if (isRelay() && now >= state.nextDigestAt) {
        state.nextDigestAt = now + state.options.digestInterval;
        state.sendDigests(now);
    }
}

void MembershipService::onPlatformList(const std::vector<InstanceId> &leaving, TimePoint now)
{
    now = m_state->advance(now);
    for (const InstanceId &instance : leaving)
        m_state->platformLeaving[instance] = now + PlatformLeavingTimeout;
}

void MembershipService::setLeaving()
{
    m_state->leaving = true;
    m_state->nextHeartbeatAt = {};
}

MemberState MembershipService::state(const InstanceId &instance, TimePoint now) const
{
    const State &state = *m_state;
    const auto site = state.siteOf.find(instance);
    if (site == state.siteOf.end())
        return MemberState::Unknown;
    const bool direct = instance == state.options.self || state.isRelayOf(site->second);
    return direct ? state.stateFromHeartbeat(instance, now)
                  : state.stateFromReport(instance, site->second, now);
}

std::vector<MemberView> MembershipService::members(TimePoint now) const
{
    std::vector<MemberView> views;
    for (const PlacedInstance &placed : m_state->options.instances) {
        const auto lastHeartbeat = m_state->lastHeartbeats.find(placed.instance);
        views.push_back({.placed = placed,
                         .state = state(placed.instance, now),
                         .incarnation = lastHeartbeat == m_state->lastHeartbeats.end()
                             ? Incarnation()
                             : lastHeartbeat->second.incarnation});
    }
    return views;
}

bool MembershipService::isRelay() const
{
    return m_state->isRelayOf(m_state->options.dataCentre);
}

std::uint64_t MembershipService::malformed() const
{
    return m_state->malformed;
}

} // namespace gentianramp
