#include <gentianramp/membership/membership_service.hpp>

#include <algorithm>
#include <gentianramp/membership/generated/membership.pb.h>
#include <map>
#include <set>
#include <utility>

namespace gentianramp {

namespace {

constexpr Duration HintLifetime = std::chrono::minutes(2);

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

/// Heartbeats of one process.
struct Beats
{
    Incarnation incarnation;
    TimePoint lastAt;
    bool leaving = false;
};

/// What was last heard of a data centre from one of its relays.
struct SiteNews
{
    TimePoint writtenAt; ///< On the own clock; later news replaces earlier.
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
    State(MembershipOptions givenOptions, MembershipSendHook givenSend, TimePoint now)
        : options(std::move(givenOptions))
        , send(std::move(givenSend))
        , startedAt(now)
    {
        for (const PlacedInstance &placed : options.instances) {
            siteOf[placed.instance] = placed.dataCentre;
            sites.insert(placed.dataCentre);
        }
        for (const DataCentreId &site : sites)
            relaysOf[site] = replicaGroup("relay", site, relaysIn(site), RelayCount);
    }

    std::vector<PlacedInstance> relaysIn(const DataCentreId &site) const;
    bool relaysFor(const DataCentreId &site) const;
    void onDigest(const proto::MembershipDigest &digest, TimePoint now);
    void sendBeats();
    void sendDigests(TimePoint now);
    proto::SiteDigest digestOf(const DataCentreId &site, TimePoint now) const;
    MemberState beatState(const InstanceId &instance, TimePoint now) const;
    MemberState newsState(const InstanceId &instance, const DataCentreId &site,
                          TimePoint now) const;

    MembershipOptions options;
    MembershipSendHook send;
    TimePoint startedAt;
    TimePoint nextBeat;
    TimePoint nextDigest;
    bool leaving = false;
    std::map<InstanceId, DataCentreId> siteOf;
    std::set<DataCentreId> sites;
    std::map<DataCentreId, std::vector<InstanceId>> relaysOf;
    std::map<InstanceId, Beats> beats;
    std::map<DataCentreId, SiteNews> news;
    std::map<InstanceId, TimePoint> platformLeaving;
    std::uint64_t malformed = 0;
};

std::vector<PlacedInstance> MembershipService::State::relaysIn(const DataCentreId &site) const
{
    std::vector<PlacedInstance> own;
    std::copy_if(options.relayCandidates.begin(), options.relayCandidates.end(),
                 std::back_inserter(own),
                 [&site](const PlacedInstance &placed) { return placed.dataCentre == site; });
    return own;
}

bool MembershipService::State::relaysFor(const DataCentreId &site) const
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
        const TimePoint writtenAt = now - std::chrono::milliseconds(site.age_ms());
        const auto known = news.find(id);
        if (!sites.contains(id) || (known != news.end() && writtenAt <= known->second.writtenAt))
            continue;
        SiteNews fresh{.writtenAt = writtenAt, .exceptions = {}};
        for (const proto::MemberException &exception : site.exceptions())
            fresh.exceptions[InstanceId(exception.instance())] = fromCode(exception.state());
        news[id] = std::move(fresh);
    }
}

void MembershipService::State::sendBeats()
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
    if (!relaysFor(site)) {
        const SiteNews &known = news.at(site);
        digest.set_age_ms(static_cast<std::uint32_t>(toMilliseconds(now - known.writtenAt)));
        for (const auto &[instance, state] : known.exceptions) {
            proto::MemberException &added = *digest.add_exceptions();
            added.set_instance(instance.value());
            added.set_state(toCode(state));
        }
        return digest;
    }
    for (const auto &[instance, own] : siteOf) {
        const MemberState state = own == site ? beatState(instance, now) : MemberState::Alive;
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
    for (const auto &[site, relayCandidates] : relaysOf) {
        for (const InstanceId &relay : relayCandidates) {
            if (site != options.dataCentre)
                send(relay, toRelays);
        }
    }
    proto::MembershipMessage all = own;
    for (const auto &[site, known] : news) {
        if (site != options.dataCentre && now - known.writtenAt < options.unknownAfter)
            *all.mutable_digest()->add_sites() = digestOf(site, now);
    }
    const std::string toMembers = all.SerializeAsString();
    for (const auto &[instance, site] : siteOf) {
        if (site == options.dataCentre && instance != options.self)
            send(instance, toMembers);
    }
}

MemberState MembershipService::State::beatState(const InstanceId &instance, TimePoint now) const
{
    if (instance == options.self)
        return leaving ? MemberState::Leaving : MemberState::Alive;
    const auto heard = beats.find(instance);
    const TimePoint lastAt = heard == beats.end() ? startedAt : heard->second.lastAt;
    const bool silent = now - lastAt >= options.suspectAfter;
    if (silent)
        return MemberState::Suspected;
    if (heard == beats.end())
        return MemberState::Unknown;
    return heard->second.leaving || platformLeaving.contains(instance) ? MemberState::Leaving
                                                                       : MemberState::Alive;
}

MemberState MembershipService::State::newsState(const InstanceId &instance,
                                                const DataCentreId &site, TimePoint now) const
{
    const auto known = news.find(site);
    if (known == news.end() || now - known->second.writtenAt >= options.unknownAfter)
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
    proto::MembershipMessage message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        ++state.malformed;
        return;
    }
    if (message.has_digest())
        state.onDigest(message.digest(), now);
    if (!message.has_beat())
        return;
    Beats &beats = state.beats[sender];
    if (incarnation < beats.incarnation)
        return;
    if (incarnation > beats.incarnation)
        state.platformLeaving.erase(sender); // The hint was about an earlier life.
    beats = {.incarnation = incarnation, .lastAt = now, .leaving = message.beat().leaving()};
}

void MembershipService::tick(TimePoint now)
{
    State &state = *m_state;
    std::erase_if(state.platformLeaving, [now](const auto &hint) { return hint.second <= now; });
    if (now >= state.nextBeat) {
        state.nextBeat = now + state.options.beatInterval;
        state.sendBeats();
    }
    if (isRelay() && now >= state.nextDigest) {
        state.nextDigest = now + state.options.digestInterval;
        state.sendDigests(now);
    }
}

void MembershipService::onPlatformList(const std::vector<InstanceId> &leaving, TimePoint now)
{
    for (const InstanceId &instance : leaving)
        m_state->platformLeaving[instance] = now + HintLifetime;
}

void MembershipService::setLeaving()
{
    m_state->leaving = true;
    m_state->nextBeat = {};
}

MemberState MembershipService::state(const InstanceId &instance, TimePoint now) const
{
    const State &state = *m_state;
    const auto site = state.siteOf.find(instance);
    if (site == state.siteOf.end())
        return MemberState::Unknown;
    const bool direct = instance == state.options.self || state.relaysFor(site->second);
    return direct ? state.beatState(instance, now) : state.newsState(instance, site->second, now);
}

std::vector<MemberView> MembershipService::members(TimePoint now) const
{
    std::vector<MemberView> views;
    for (const PlacedInstance &placed : m_state->options.instances) {
        const auto heard = m_state->beats.find(placed.instance);
        views.push_back({.placed = placed,
                         .state = state(placed.instance, now),
                         .incarnation = heard == m_state->beats.end() ? Incarnation()
                                                                      : heard->second.incarnation});
    }
    return views;
}

bool MembershipService::isRelay() const
{
    return m_state->relaysFor(m_state->options.dataCentre);
}

std::uint64_t MembershipService::malformed() const
{
    return m_state->malformed;
}

} // namespace gentianramp
