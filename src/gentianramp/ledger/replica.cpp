#include <gentianramp/ledger/replica.hpp>

#include "replica_state.hpp"

#include <algorithm>
#include <gentianramp/core/invariant.hpp>
#include <gentianramp/core/time_order.hpp>

namespace gentianramp {

namespace {

constexpr std::string_view SuccessorSuffix = "/successor";

} // namespace

InstanceId successorName(const InstanceId &slot)
{
    return InstanceId(slot.value() + std::string(SuccessorSuffix));
}

InstanceId slotOf(const InstanceId &name)
{
    std::string_view text = name.value();
    if (text.ends_with(SuccessorSuffix))
        text.remove_suffix(SuccessorSuffix.size());
    return InstanceId(std::string(text));
}

Replica::Replica(ReplicaOptions options, StoredLog stored, TimePoint now)
    : m_state(std::make_unique<State>(std::move(options), std::move(stored), now))
{ }

Replica::~Replica() = default;
Replica::Replica(Replica &&) noexcept = default;
Replica &Replica::operator=(Replica &&) noexcept = default;

ReplicaOutput Replica::step(const InstanceId &from, const proto::LedgerMessage &message,
                            TimePoint now)
{
    m_state->setTime(now);
    m_state->receive(from.value(), message);
    return m_state->takeOutput();
}

ReplicaOutput Replica::tick(TimePoint now)
{
    State &state = *m_state;
    state.setTime(now);
    if (state.role == ReplicaRole::Leader) {
        if (now >= state.nextQuorumCheckAt)
            state.stepDownWithoutQuorum();
        if (state.role == ReplicaRole::Leader && now >= state.nextHeartbeatAt) {
            state.replaceFolders();
            state.broadcast(false);
        }
    } else if (now >= state.electionDeadline) {
        state.startPreVote();
    }
    return state.takeOutput();
}

std::optional<LogIndex> Replica::propose(std::string command, TimePoint now, ReplicaOutput &output)
{
    State &state = *m_state;
    state.setTime(now);
    if (state.role != ReplicaRole::Leader || state.handOverDeadline)
        return std::nullopt;
    proto::LogEntry entry;
    entry.set_kind(proto::ENTRY_COMMAND);
    entry.set_command(std::move(command));
    state.appendAsLeader(std::move(entry));
    const LogIndex index(state.log.lastIndex());
    state.broadcast(true);
    output = state.takeOutput();
    return index;
}

ReplicaOutput Replica::requestRead(std::uint64_t id, TimePoint now)
{
    State &state = *m_state;
    state.setTime(now);
    if (state.role != ReplicaRole::Leader) {
        state.output.failedReads.push_back(id);
        return state.takeOutput();
    }
    state.reads.push_back({.id = id, .round = state.round + 1});
    state.broadcast(false);
    state.answerReads();
    return state.takeOutput();
}

ReplicaOutput Replica::compact(LogIndex index, std::string state)
{
    if (!checkInvariant(index.value() <= m_state->commit, "ledger.compacts_committed_only")
        || index.value() <= m_state->log.snapshot().index())
        return {};
    m_state->log.compact(index.value(), std::move(state), m_state->options.retainedEntries);
    m_state->persistSnapshot();
    return m_state->takeOutput();
}

ReplicaOutput Replica::transferLeadership(TimePoint now)
{
    State &state = *m_state;
    state.setTime(now);
    if (state.role != ReplicaRole::Leader)
        return {};
    const PeerState *best = nullptr;
    std::string target;
    for (const auto &[instance, peer] : state.peers) {
        // The former folder of a slot that changes its folder may leave, and the new one may not
        // stay.
        if (state.log.successors().contains(slotOf(InstanceId(instance)).value()))
            continue;
        if (state.isLive(instance) && (best == nullptr || peer.match > best->match)) {
            best = &peer;
            target = instance;
        }
    }
    if (best == nullptr)
        return {};
    state.handOverDeadline = now + state.options.electionTimeout;
    proto::LedgerMessage message = state.newMessage();
    message.mutable_hand_over();
    state.send(target, std::move(message));
    return state.takeOutput();
}

void Replica::setSuccessors(const std::set<InstanceId> &slots)
{
    m_state->expectedSuccessors.clear();
    for (const InstanceId &slot : slots)
        m_state->expectedSuccessors.insert(slot.value());
}

bool Replica::knowsSuccessors() const
{
    return m_state->knowSuccessors();
}

bool Replica::foldersSettled() const
{
    // Before an entry of its own term is committed, a leader may not know the newest change.
    return m_state->committedOwnTerm() && m_state->log.successors().empty()
        && m_state->log.identitiesIndex() <= m_state->commit;
}

TimePoint Replica::nextTick() const
{
    if (m_state->role == ReplicaRole::Leader)
        return std::min(m_state->nextHeartbeatAt, m_state->nextQuorumCheckAt);
    return m_state->electionDeadline;
}

ReplicaRole Replica::role() const
{
    return m_state->role;
}

std::optional<InstanceId> Replica::leader() const
{
    if (m_state->leader.empty())
        return std::nullopt;
    return InstanceId(m_state->leader);
}

std::optional<TimePoint> Replica::confirmedAt() const
{
    return m_state->currentConfirmation();
}

Term Replica::term() const
{
    return Term(m_state->hard.term());
}

LogIndex Replica::commitIndex() const
{
    return LogIndex(m_state->commit);
}

LogIndex Replica::lastIndex() const
{
    return LogIndex(m_state->log.lastIndex());
}

LogIndex Replica::snapshotIndex() const
{
    return LogIndex(m_state->log.snapshot().index());
}

std::uint64_t Replica::identity() const
{
    return m_state->hard.identity();
}

bool Replica::admitted() const
{
    return m_state->selfAdmitted();
}

std::vector<VoterView> Replica::voters() const
{
    std::vector<VoterView> views;
    for (const InstanceId &voter : m_state->options.voters) {
        const auto slot = m_state->log.identities().find(voter.value());
        VoterView view{.instance = voter};
        view.identity = slot == m_state->log.identities().end() ? 0 : slot->second;
        const auto successor = m_state->log.successors().find(voter.value());
        view.successor = successor == m_state->log.successors().end() ? 0 : successor->second;
        if (voter.value() == m_state->self) {
            view.admitted = m_state->selfAdmitted();
            view.match = LogIndex(m_state->log.lastIndex());
            view.lastContact = m_state->now;
        } else {
            const PeerState &peer = m_state->peers.at(voter.value());
            view.admitted = m_state->isAdmitted(voter.value(), peer.incarnation.identity);
            view.rolledBack = peer.rolledBack;
            view.match = LogIndex(peer.match);
            view.lastContact = peer.lastContact;
        }
        views.push_back(view);
    }
    return views;
}

std::uint64_t Replica::logBytes() const
{
    return m_state->log.bytes();
}

std::vector<proto::LogEntry> Replica::entries() const
{
    return m_state->log.entriesAfterSnapshot();
}

Replica::State::State(ReplicaOptions replicaOptions, StoredLog stored, TimePoint time)
    : options(std::move(replicaOptions))
    , self(options.self.value())
    , hard(stored.hardState)
    , log(std::move(stored))
    , random(options.seed)
    , commit(log.snapshot().index())
    , lastEmitted(commit)
    , now(time)
{
    stateAtStart = {.term = hard.term(), .lastIndex = log.lastIndex()};
    session = random();
    for (const InstanceId &voter : options.voters) {
        if (voter.value() != self)
            peers[voter.value()] = {};
        peers[successorName(voter).value()] = {};
    }
    for (const proto::Witness &witness : hard.witnesses())
        witnesses.merge(witness);
    resetPreVoteTimer();
    // Entries committed before the restart are returned again, so that their effect is in force at
    // once.
    advanceCommit(hard.commit());
}

void Replica::State::setTime(TimePoint time)
{
    now = latestTime(now, time, "ledger.time_never_goes_back");
}

void Replica::State::receive(const std::string &from, const proto::LedgerMessage &message)
{
    if (!peers.contains(from) || isFromEarlierIncarnation(from, message))
        return;
    processWitnesses(message);
    notePeer(from, message);
    const bool ignoredVote
        = message.has_vote_request() && !message.vote_request().hand_over() && heardFromLeader();
    if (message.term() > hard.term() && !ignoredVote)
        becomeFollower(message.term());
    dispatch(from, message);
}

void Replica::State::dispatch(const std::string &from, const proto::LedgerMessage &message)
{
    switch (message.body_case()) {
    case proto::LedgerMessage::kVoteRequest:
        return receiveVoteRequest(from, message);
    case proto::LedgerMessage::kVoteResponse:
        return receiveVoteResponse(from, message);
    case proto::LedgerMessage::kAppendRequest:
        return receiveAppendRequest(from, message);
    case proto::LedgerMessage::kAppendResponse:
        return receiveAppendResponse(from, message);
    case proto::LedgerMessage::kSnapshotRequest:
        return receiveSnapshotRequest(from, message);
    case proto::LedgerMessage::kHandOver:
        return receiveHandOver(message);
    case proto::LedgerMessage::BODY_NOT_SET:
        return;
    }
}

void Replica::State::processWitnesses(const proto::LedgerMessage &message)
{
    const VoterIncarnation own{hard.identity(), hard.boot(), session, hard.term()};
    bool changed = false;
    for (const proto::Witness &witness : message.witnesses()) {
        if (witness.instance() == self) {
            if (provesRollback(witness, own, stateAtStart))
                return renewIdentity();
        } else if (isAdmitted(witness.instance(), witness.identity())) {
            changed = witnesses.merge(witness) || changed;
        }
    }
    if (changed)
        persistHardState();
}

void Replica::State::renewIdentity()
{
    hard.set_identity(random());
    hard.set_founding(false);
    becomeFollower(hard.term());
    persistHardState();
}

/// True for delayed messages of an earlier incarnation, and for all messages of an incarnation
/// whose boot counter did not grow, because its data folder was rolled back.
bool Replica::State::isFromEarlierIncarnation(const std::string &from,
                                              const proto::LedgerMessage &message) const
{
    const VoterIncarnation &known = peers.at(from).incarnation;
    if (known.identity != message.identity() || known.session == message.session())
        return false;
    return message.boot() <= known.boot;
}

void Replica::State::notePeer(const std::string &from, const proto::LedgerMessage &message)
{
    PeerState &peer = peers[from];
    const VoterIncarnation incarnation{message.identity(), message.boot(), message.session(),
                                       message.term()};
    if (peer.incarnation.identity != incarnation.identity
        || peer.incarnation.session != incarnation.session) {
        peer = {};
        peer.next = log.lastIndex() + 1;
    }
    peer.incarnation = incarnation;
    peer.lastContact = now;
    peer.knowsReplace = message.knows_replace();
    if (isAdmitted(from, incarnation.identity))
        witnesses.recordIncarnation(from, incarnation);
}

void Replica::State::becomeFollower(std::uint64_t term)
{
    if (role == ReplicaRole::Leader) {
        confirmedAt = currentConfirmation();
        failReads();
    }
    if (term > hard.term()) {
        hard.set_term(term);
        hard.clear_voted_for();
        persistHardState();
        leader.clear();
    }
    if (role == ReplicaRole::Leader || role == ReplicaRole::Candidate)
        leader.clear();
    role = ReplicaRole::Follower;
    handOverDeadline.reset();
    votes.clear();
    resetElectionTimer();
}

/// A voter that has heard no leader since its start asks sooner than the others: after a loss of
/// power everything waits for the first leader, and voters that hear one refuse.
void Replica::State::resetPreVoteTimer()
{
    if (leaderContact)
        return resetElectionTimer();
    const Duration share = options.electionTimeout / 3;
    std::uniform_int_distribution<Duration::rep> jitter(0, share.count());
    electionDeadline = now + share + Duration(jitter(random));
}

void Replica::State::resetElectionTimer()
{
    std::uniform_int_distribution<Duration::rep> jitter(0, options.electionTimeout.count());
    electionDeadline = now + options.electionTimeout + Duration(jitter(random));
}

void Replica::State::persistHardState()
{
    if (!output.record)
        output.record.emplace();
    hard.clear_witnesses();
    witnesses.retain(admittedNames());
    for (const proto::Witness &witness : witnesses.all())
        *hard.add_witnesses() = witness;
    *output.record->mutable_hard_state() = hard;
}

void Replica::State::persistEntry(const proto::LogEntry &entry)
{
    persistHardState();
    *output.record->add_entries() = entry;
}

void Replica::State::persistTruncation(std::uint64_t index)
{
    persistHardState();
    auto &entries = *output.record->mutable_entries();
    while (!entries.empty() && entries.rbegin()->index() >= index)
        entries.RemoveLast();
    const std::uint64_t earlier = output.record->truncate_from();
    output.record->set_truncate_from(earlier == 0 ? index : std::min(earlier, index));
}

void Replica::State::persistSnapshot()
{
    persistHardState();
    output.snapshot = log.snapshot();
    output.record->set_base_index(log.snapshot().index());
    output.record->clear_truncate_from();
    output.record->clear_entries();
    for (const proto::LogEntry &entry : log.entriesAfterSnapshot())
        *output.record->add_entries() = entry;
}

void Replica::State::advanceCommit(std::uint64_t index)
{
    commit = std::max(commit, std::min(index, log.lastIndex()));
    if (commit > hard.commit()) {
        hard.set_commit(commit);
        persistHardState();
    }
    while (lastEmitted < commit)
        output.committed.push_back(log.at(++lastEmitted));
}

proto::LedgerMessage Replica::State::newMessage() const
{
    proto::LedgerMessage message;
    message.set_identity(hard.identity());
    message.set_boot(hard.boot());
    message.set_session(session);
    message.set_term(hard.term());
    message.set_knows_replace(true);
    return message;
}

void Replica::State::addWitnesses(proto::LedgerMessage &message) const
{
    for (const proto::Witness &witness : witnesses.all())
        *message.add_witnesses() = witness;
}

void Replica::State::send(const std::string &to, proto::LedgerMessage message)
{
    output.messages.push_back({.to = InstanceId(to), .message = std::move(message)});
}

bool Replica::State::isAdmitted(const std::string &name, std::uint64_t identity) const
{
    const auto holds = [&](const IdentityMap &folders, const std::string &slot) {
        const auto found = folders.find(slot);
        return found != folders.end() && found->second == identity;
    };
    const std::string slot = slotOf(InstanceId(name)).value();
    if (slot == name)
        return holds(log.identities(), slot);
    if (slot != self)
        return holds(log.successors(), slot);
    // The other process on the own slot may be the former or the new one.
    return identity != hard.identity()
        && (holds(log.identities(), slot) || holds(log.successors(), slot));
}

IdentityMap Replica::State::admittedNames() const
{
    IdentityMap names = log.identities();
    for (const auto &[slot, identity] : log.successors())
        names[successorName(InstanceId(slot)).value()] = identity;
    return names;
}

bool Replica::State::isReachable(const std::string &name) const
{
    const std::string slot = slotOf(InstanceId(name)).value();
    return slot == name || expectedSuccessors.contains(slot) || log.successors().contains(slot)
        || (slot == self && !selfAdmitted());
}

/// True unless an admitted folder was heard whose build knows no successors.
bool Replica::State::knowSuccessors() const
{
    return std::all_of(log.identities().begin(), log.identities().end(), [&](const auto &slot) {
        const auto peer = peers.find(slot.first);
        return peer == peers.end() || peer->second.incarnation.identity != slot.second
            || peer->second.knowsReplace;
    });
}

bool Replica::State::inContact(const PeerState &peer) const
{
    return peer.lastContact && now - *peer.lastContact < options.electionTimeout;
}

bool Replica::State::isLive(const std::string &instance) const
{
    const PeerState &peer = peers.at(instance);
    return isAdmitted(instance, peer.incarnation.identity)
        && now - peer.roundSentAt < options.electionTimeout;
}

ReplicaOutput Replica::State::takeOutput()
{
    // The driver syncs `record` before it sends `messages`, so the term and identity in the
    // messages are durable when they leave the process.
    return std::exchange(output, {});
}

} // namespace gentianramp
