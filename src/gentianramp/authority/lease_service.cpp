#include <gentianramp/authority/lease_service.hpp>

#include <algorithm>
#include <deque>
#include <gentianramp/authority/lease_member.hpp>
#include <gentianramp/authority/lease_messages.hpp>
#include <gentianramp/authority/lease_round.hpp>
#include <gentianramp/core/time_order.hpp>
#include <map>
#include <random>
#include <utility>
#include <variant>

namespace gentianramp {

namespace {

constexpr Duration MinBackoff = std::chrono::milliseconds(5);
constexpr int ReleaseSendCount = 3; // One at each tick, as messages can be lost.

ReplicaGroups groupsOf(const DataCentreId &dataCentre, const LeaseOptions &options)
{
    std::vector<std::vector<InstanceId>> groups{leaseGroup(dataCentre, options.instances)};
    if (!options.previousInstances.empty())
        groups.push_back(leaseGroup(dataCentre, options.previousInstances));
    return ReplicaGroups(std::move(groups));
}

Duration scaled(Duration value, double factor)
{
    return std::chrono::duration_cast<Duration>(value * factor);
}

FencingNumber nextFencingBlock(FencingNumber known)
{
    return FencingNumber((known.value() / FencingBlockSize + 1) * FencingBlockSize);
}

} // namespace

std::vector<InstanceId> leaseGroup(const DataCentreId &dataCentre,
                                   const std::vector<PlacedInstance> &instances)
{
    return replicaGroup("lease/" + dataCentre.value(), dataCentre, instances);
}

struct LeaseService::State
{
    State(LeaseOptions leaseOptions, LeaseSendHook sendHook, TimePoint now)
        : options(std::move(leaseOptions))
        , send(std::move(sendHook))
        , groups(groupsOf(options.dataCentre, options))
        , grantsAllowedAt(now + scaled(options.length, 1 + options.clockDrift))
        , nextRoundAt(now)
        , random(options.seed)
        , fencingFloor(options.fencingFloor)
    { }

    /// A grant that is dated earlier than it was given ends before its holder lets go.
    TimePoint advance(TimePoint now)
    {
        latest = latestTime(latest, now, "lease.time_never_goes_back");
        return latest;
    }

    LeaseMember &member(const DataCentreId &dataCentre);
    void deliver(const InstanceId &to, LeaseMessage message);
    void broadcast(const LeaseBody &body);
    void handleLocalMessages(TimePoint now);
    void handle(const InstanceId &sender, const LeaseMessage &message, TimePoint now);
    void onPromise(const InstanceId &sender, const LeasePromise &promise, TimePoint now);
    void onAccepted(const InstanceId &sender, const LeaseAccepted &accepted, TimePoint now);
    void onRelease(const DataCentreId &dataCentre, const LeaseRelease &release, TimePoint now);

    bool isCandidate() const;
    Ballot nextBallot();
    void startRound(TimePoint now);
    void endRound(TimePoint nextAt);
    void propose(TimePoint now);
    void acquireOrRenew(TimePoint now);
    bool isHeld(TimePoint now) const;
    Duration jitter();

    LeaseOptions options;
    LeaseSendHook send;
    ReplicaGroups groups;
    TimePoint grantsAllowedAt;
    TimePoint nextRoundAt;
    std::mt19937_64 random;
    std::map<DataCentreId, LeaseMember> members;
    std::deque<LeaseMessage> localMessages;
    std::optional<LeaseRound> round;
    std::uint64_t lastRound = 0;
    FencingNumber proposedFencing;
    FencingNumber fencingFloor; ///< New fencing numbers have to be larger.
    std::optional<HeldLease> lease;
    Ballot releaseBallot; ///< Above all ballots that this process proposed.
    std::optional<TimePoint> releaseAt;
    int releasesSent = 0;
    std::uint64_t malformed = 0;
    TimePoint latest{}; ///< Of the times of all calls.
};

LeaseMember &LeaseService::State::member(const DataCentreId &dataCentre)
{
    return members.try_emplace(dataCentre, grantsAllowedAt).first->second;
}

void LeaseService::State::deliver(const InstanceId &to, LeaseMessage message)
{
    if (to == options.self)
        localMessages.push_back(std::move(message));
    else
        send(to, encodeLeaseMessage(message));
}

void LeaseService::State::broadcast(const LeaseBody &body)
{
    for (const InstanceId &to : groups.members())
        deliver(to, {.dataCentre = options.dataCentre, .body = body});
}

void LeaseService::State::handleLocalMessages(TimePoint now)
{
    while (!localMessages.empty()) {
        const LeaseMessage message = std::move(localMessages.front());
        localMessages.pop_front();
        handle(options.self, message, now);
    }
}

void LeaseService::State::handle(const InstanceId &sender, const LeaseMessage &message,
                                 TimePoint now)
{
    const DataCentreId &site = message.dataCentre;
    if (const auto *prepare = std::get_if<LeasePrepare>(&message.body)) {
        // The group differs between processes while their lists of instances differ. A process
        // that is no member by its own list must not promise or grant the lease.
        if (groupsOf(site, options).members().contains(options.self))
            deliver(sender, {.dataCentre = site, .body = member(site).onPrepare(*prepare, now)});
    } else if (const auto *propose = std::get_if<LeasePropose>(&message.body)) {
        if (groupsOf(site, options).members().contains(options.self))
            deliver(sender, {.dataCentre = site, .body = member(site).onPropose(*propose, now)});
    } else if (const auto *release = std::get_if<LeaseRelease>(&message.body)) {
        onRelease(site, *release, now);
    } else if (site != options.dataCentre) {
        return;
    } else if (const auto *promise = std::get_if<LeasePromise>(&message.body)) {
        onPromise(sender, *promise, now);
    } else if (const auto *accepted = std::get_if<LeaseAccepted>(&message.body)) {
        onAccepted(sender, *accepted, now);
    }
}

void LeaseService::State::onPromise(const InstanceId &sender, const LeasePromise &promise,
                                    TimePoint now)
{
    if (!round || round->isProposed())
        return;
    round->onPromise(sender, promise);
    lastRound = std::max(lastRound, round->overtakenBy().round);
    if (round->overtakenBy().round > 0)
        endRound(now + MinBackoff + jitter());
    else if (round->isAvailable())
        propose(now);
    else if (round->isHeldByOther() && promise.grant)
        endRound(now + promise.grant->remaining + jitter());
}

void LeaseService::State::propose(TimePoint now)
{
    const bool renewal = isHeld(now) && lease->fencing > fencingFloor;
    const auto known = std::max(round->highestFencing(), fencingFloor);
    proposedFencing = renewal ? lease->fencing : nextFencingBlock(known);
    round->markProposed();
    broadcast(LeasePropose{
        .ballot = round->ballot(), .fencing = proposedFencing, .length = options.length});
}

void LeaseService::State::onAccepted(const InstanceId &sender, const LeaseAccepted &accepted,
                                     TimePoint now)
{
    if (!round)
        return;
    round->onAccepted(sender, accepted);
    lastRound = std::max(lastRound, round->overtakenBy().round);
    if (round->isGranted())
        acquireOrRenew(now);
    else if (round->overtakenBy().round > 0)
        endRound(now + MinBackoff + jitter());
}

void LeaseService::State::acquireOrRenew(TimePoint now)
{
    const bool renewal = lease && lease->fencing == proposedFencing;
    const TimePoint sendDeadline = round->startedAt()
        + scaled(options.length, 1 - options.clockDrift) - options.orderTimeout;
    lease = HeldLease{.fencing = proposedFencing,
                      .acquiredAt = renewal ? lease->acquiredAt : now,
                      .sendDeadline = sendDeadline};
    endRound(round->startedAt() + options.renewInterval);
}

void LeaseService::State::onRelease(const DataCentreId &dataCentre, const LeaseRelease &release,
                                    TimePoint now)
{
    member(dataCentre).onRelease(release);
    // The lease is free, so a shorter jitter than after a failed round is used.
    if (dataCentre == options.dataCentre && release.ballot.instance != options.self && !round)
        nextRoundAt = std::min(nextRoundAt, now + MinBackoff + jitter() / 4);
}

bool LeaseService::State::isCandidate() const
{
    return !releaseAt && groups.members().contains(options.self);
}

Ballot LeaseService::State::nextBallot()
{
    return {.round = ++lastRound, .instance = options.self, .incarnation = options.incarnation};
}

void LeaseService::State::startRound(TimePoint now)
{
    const Ballot ballot = nextBallot();
    round.emplace(groups, ballot, now);
    broadcast(LeasePrepare{ballot});
}

void LeaseService::State::endRound(TimePoint nextAt)
{
    round.reset();
    nextRoundAt = nextAt;
}

bool LeaseService::State::isHeld(TimePoint now) const
{
    return lease && !releaseAt && now < lease->sendDeadline;
}

Duration LeaseService::State::jitter()
{
    std::uniform_int_distribution<Duration::rep> draw(0, options.maxRetryJitter.count());
    return Duration(draw(random));
}

LeaseService::LeaseService(LeaseOptions options, LeaseSendHook send, TimePoint now)
    : m_state(std::make_unique<State>(std::move(options), std::move(send), now))
{ }

LeaseService::~LeaseService() = default;

void LeaseService::onMessage(const InstanceId &sender, std::string_view payload, TimePoint now)
{
    const Result<LeaseMessage> message = decodeLeaseMessage(payload);
    if (!message) {
        ++m_state->malformed;
        return;
    }
    now = m_state->advance(now);
    m_state->handle(sender, *message, now);
    m_state->handleLocalMessages(now);
}

void LeaseService::tick(TimePoint now)
{
    State &state = *m_state;
    now = state.advance(now);
    if (state.releaseAt && now >= *state.releaseAt && state.releasesSent < ReleaseSendCount) {
        ++state.releasesSent;
        if (state.lease)
            state.broadcast(LeaseRelease{state.releaseBallot});
    }
    if (state.round && now >= state.round->startedAt() + state.options.roundTimeout)
        state.endRound(now + state.jitter());
    if (!state.round && state.isCandidate() && now >= state.nextRoundAt)
        state.startRound(now);
    state.handleLocalMessages(now);
}

std::optional<HeldLease> LeaseService::held(TimePoint now) const
{
    const State &state = *m_state;
    if (!state.isHeld(now) || state.lease->fencing <= state.fencingFloor)
        return std::nullopt;
    return state.lease;
}

void LeaseService::raiseFencing(FencingNumber seen, TimePoint now)
{
    State &state = *m_state;
    now = state.advance(now);
    if (seen <= state.fencingFloor)
        return;
    state.fencingFloor = seen;
    if (state.lease && state.lease->fencing <= seen)
        state.endRound(now);
}

void LeaseService::release(TimePoint now, TimePoint ordersArrived)
{
    State &state = *m_state;
    now = state.advance(now);
    if (state.releaseAt)
        return;
    state.releaseAt = std::max(now, ordersArrived);
    state.releaseBallot = state.nextBallot();
    state.round.reset();
}

std::uint64_t LeaseService::malformed() const
{
    return m_state->malformed;
}

} // namespace gentianramp
