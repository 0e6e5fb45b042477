#include "replica_state.hpp"

#include <algorithm>
#include <functional>
#include <gentianramp/core/invariant.hpp>
#include <gentianramp/core/time_order.hpp>
#include <limits>

namespace gentianramp {

namespace {

/// Broadcast rounds between append requests that carry witnesses although they have no entries.
constexpr std::uint64_t WitnessInterval = 8;

} // namespace

void Replica::State::appendAsLeader(proto::LogEntry entry)
{
    entry.set_index(log.lastIndex() + 1);
    entry.set_term(hard.term());
    log.append(entry);
    persistEntry(entry);
    advanceLeaderCommit();
}

/// Sends append requests to all peers in a new round, or only to those that lack entries.
void Replica::State::broadcast(bool onlyLagging)
{
    if (!onlyLagging) {
        roundTimes[++round] = now;
        while (now - roundTimes.begin()->second > options.electionTimeout)
            roundTimes.erase(roundTimes.begin());
        nextHeartbeatAt = now + options.heartbeatInterval;
    }
    for (auto &[instance, peer] : peers) {
        if (isReachable(instance) && (!onlyLagging || peer.next <= log.lastIndex()))
            sendAppend(instance, peer);
    }
}

void Replica::State::sendAppend(const std::string &to, PeerState &peer)
{
    const std::optional<std::uint64_t> prevTerm = log.termAt(peer.next - 1);
    if (!prevTerm)
        return sendSnapshot(to, peer);
    proto::LedgerMessage message = newMessage();
    proto::AppendRequest &request = *message.mutable_append_request();
    request.set_prev_index(peer.next - 1);
    request.set_prev_term(*prevTerm);
    request.set_commit(commit);
    request.set_probe(round);
    if (const auto confirmation = confirmationFor(peer))
        *request.mutable_confirmation() = *confirmation;
    std::size_t bytes = 0;
    while (peer.next <= log.lastIndex()
           && static_cast<std::size_t>(request.entries_size()) < options.maxEntriesPerMessage) {
        const proto::LogEntry &entry = log.at(peer.next);
        bytes += entry.command().size();
        if (request.entries_size() > 0 && bytes > options.maxBytesPerMessage)
            break;
        *request.add_entries() = entry;
        ++peer.next;
    }
    if (request.entries_size() > 0 || round % WitnessInterval == 1)
        addWitnesses(message);
    send(to, std::move(message));
}

void Replica::State::sendSnapshot(const std::string &to, PeerState &peer)
{
    if (peer.snapshotSentAt != TimePoint{} && now - peer.snapshotSentAt < options.electionTimeout)
        return;
    peer.snapshotSentAt = now;
    proto::LedgerMessage message = newMessage();
    addWitnesses(message);
    proto::SnapshotRequest &request = *message.mutable_snapshot_request();
    *request.mutable_snapshot() = log.snapshot();
    request.set_commit(commit);
    request.set_probe(round);
    if (const auto confirmation = confirmationFor(peer))
        *request.mutable_confirmation() = *confirmation;
    send(to, std::move(message));
}

void Replica::State::receiveAppendResponse(const std::string &from,
                                           const proto::LedgerMessage &message)
{
    if (role != ReplicaRole::Leader || message.term() != hard.term())
        return;
    const proto::AppendResponse &response = message.append_response();
    PeerState &peer = peers[from];
    noteAnsweredRound(peer, response.probe());
    peer.snapshotSentAt = {};
    if (response.accepted()) {
        peer.match = std::max(peer.match, response.match_index());
        peer.next = std::max(peer.next, peer.match + 1);
        if (isAdmitted(from, message.identity()))
            witnesses.recordAcknowledgement(from, peer.incarnation, hard.term(), peer.match,
                                            std::min(peer.match, commit));
        advanceLeaderCommit();
        // Under a stream of changes, the folder may lack an entry again at the next heartbeat.
        if (role == ReplicaRole::Leader && !isAdmitted(from, message.identity())
            && peer.match >= commit) {
            replaceFolders();
            broadcast(true);
        }
    } else {
        peer.next = std::min(response.match_index(), log.lastIndex()) + 1;
    }
    answerReads();
    if (role == ReplicaRole::Leader && peer.next <= log.lastIndex())
        sendAppend(from, peer);
}

void Replica::State::advanceLeaderCommit()
{
    const std::uint64_t held = reachedByMajority(
        log.lastIndex(), [](const std::string &, const PeerState &peer) { return peer.match; });
    if (held <= commit || log.termAt(held) != hard.term())
        return;
    advanceCommit(held);
    answerReads();
    broadcast(false);
    if (!log.successors().empty()) {
        replaceFolders();
        return broadcast(true);
    }
    // A leader whose own folder was replaced stays until that is committed.
    if (!selfAdmitted() && log.identitiesIndex() <= commit)
        becomeFollower(hard.term());
}

void Replica::State::answerReads()
{
    if (reads.empty() || !committedOwnTerm())
        return;
    const std::uint64_t confirmed = reachedByMajority(
        round, [](const std::string &, const PeerState &peer) { return peer.round; });
    std::erase_if(reads, [&](const PendingRead &read) {
        if (read.round > confirmed)
            return false;
        output.confirmedReads.push_back({.id = read.id, .index = LogIndex(commit)});
        return true;
    });
}

void Replica::State::failReads()
{
    for (const PendingRead &read : reads)
        output.failedReads.push_back(read.id);
    reads.clear();
}

void Replica::State::stepDownWithoutQuorum()
{
    nextQuorumCheckAt = now + options.electionTimeout;
    const int live = reachedByMajority(
        1, [this](const std::string &name, const PeerState &) { return isLive(name) ? 1 : 0; });
    if (live == 0)
        return becomeFollower(hard.term());
    if (handOverDeadline && now >= *handOverDeadline)
        handOverDeadline.reset();
}

void Replica::State::noteAnsweredRound(PeerState &peer, std::uint64_t answered)
{
    if (answered <= peer.round)
        return;
    peer.round = answered;
    peer.roundAnsweredAt = now;
    if (const auto sent = roundTimes.find(answered); sent != roundTimes.end())
        peer.roundSentAt = sent->second;
}

/// Time of the newest broadcast that a majority, including this voter, answered.
std::optional<TimePoint> Replica::State::lastConfirmation() const
{
    const TimePoint answered = reachedByMajority(
        now, [](const std::string &, const PeerState &peer) { return peer.roundSentAt; });
    return answered == TimePoint{} ? std::nullopt : std::optional(answered);
}

std::optional<TimePoint> Replica::State::currentConfirmation() const
{
    if (role == ReplicaRole::Leader && committedOwnTerm())
        return std::max(confirmedAt, lastConfirmation());
    return confirmedAt;
}

std::optional<proto::Confirmation> Replica::State::confirmationFor(const PeerState &peer) const
{
    const std::optional<TimePoint> confirmed = lastConfirmation();
    if (!confirmed || !committedOwnTerm() || peer.round == 0)
        return std::nullopt;
    const auto age = ageOf(*confirmed, now, "ledger.confirmation_not_after_now");
    const auto answerAge = ageOf(peer.roundAnsweredAt, now, "ledger.answer_not_after_now");
    if (!age || !answerAge)
        return std::nullopt;
    const auto bounded = [](std::chrono::milliseconds value) {
        return static_cast<std::uint32_t>(
            std::min<std::int64_t>(value.count(), std::numeric_limits<std::uint32_t>::max()));
    };
    proto::Confirmation confirmation;
    confirmation.set_age_ms(bounded(std::chrono::ceil<std::chrono::milliseconds>(*age)));
    confirmation.set_answered_probe(peer.round);
    confirmation.set_answered_session(peer.incarnation.session);
    confirmation.set_answered_ms(
        bounded(std::chrono::floor<std::chrono::milliseconds>(*answerAge)));
    return confirmation;
}

/// Appends the next entry that replaces, retires or admits a data folder. Each such entry is
/// appended only after the one before it is committed, so that any two majorities in force at once
/// share a voter.
void Replica::State::replaceFolders()
{
    if (!committedOwnTerm() || log.identitiesIndex() > commit)
        return;
    if (!log.successors().empty())
        return endReplacement();
    std::size_t live = 1;
    for (const auto &[instance, peer] : peers)
        live += isLive(instance) ? 1 : 0;
    if (replaceBySuccessor(live))
        return;
    const bool retires = !options.namesSuccessors || !knowSuccessors();
    for (const auto &[instance, peer] : peers) {
        const bool isSecond = slotOf(InstanceId(instance)).value() != instance;
        if (isSecond || !inContact(peer) || isAdmitted(instance, peer.incarnation.identity))
            continue;
        if (!log.identities().contains(instance)) {
            if (peer.match >= commit)
                return admitFolder(instance, peer.incarnation.identity);
        } else if (retires && live >= majority()) {
            return retireFolder(instance);
        }
    }
}

/// Admits the new folder of a slot alone, or the former one if only that is in contact. If neither
/// is, both count until one is back, unless a third folder waits for the slot.
void Replica::State::endReplacement()
{
    const auto [slot, successor] = *log.successors().begin();
    const auto admitted = log.identities().find(slot);
    const std::uint64_t former = admitted == log.identities().end() ? 0 : admitted->second;
    std::set<std::uint64_t> here;
    if (slot == self)
        here.insert(hard.identity());
    for (const auto &[name, peer] : peers) {
        if (slotOf(InstanceId(name)).value() == slot && inContact(peer))
            here.insert(peer.incarnation.identity);
    }
    if (here.contains(former) && !here.contains(successor))
        admitFolder(slot, former);
    else if (!here.empty())
        admitFolder(slot, successor);
}

/// Begins to replace the folder of an expected slot; false if none can be replaced now. @p live is
/// the number of live voters, this one included.
bool Replica::State::replaceBySuccessor(std::size_t live)
{
    for (const std::string &slot : expectedSuccessors) {
        const auto found = peers.find(successorName(InstanceId(slot)).value());
        if (found == peers.end() || slot == self || !inContact(found->second)
            || found->second.match < commit)
            continue;
        const std::uint64_t identity = found->second.incarnation.identity;
        const auto admitted = log.identities().find(slot);
        if (admitted == log.identities().end()) {
            admitFolder(slot, identity);
            return true;
        }
        if (admitted->second == identity)
            continue;
        const PeerState &former = peers.at(slot);
        const bool formerIsHere
            = former.incarnation.identity == admitted->second && inContact(former);
        if (knowSuccessors()) {
            proposeSuccessor(slot, identity);
            return true;
        }
        if (!formerIsHere && live >= majority()) {
            retireFolder(slot);
            return true;
        }
    }
    return false;
}

void Replica::State::proposeSuccessor(const std::string &instance, std::uint64_t identity)
{
    proto::LogEntry entry;
    entry.set_kind(proto::ENTRY_REPLACE);
    auto *slot = entry.add_identities();
    slot->set_instance(instance);
    slot->set_identity(identity);
    appendAsLeader(std::move(entry));
}

void Replica::State::retireFolder(const std::string &instance)
{
    proto::LogEntry entry;
    entry.set_kind(proto::ENTRY_RETIRE);
    auto *slot = entry.add_identities();
    slot->set_instance(instance);
    slot->set_identity(log.identities().at(instance));
    appendAsLeader(std::move(entry));
}

void Replica::State::admitFolder(const std::string &instance, std::uint64_t identity)
{
    // From now on the folder is known by the name of its slot.
    const auto second = peers.find(successorName(InstanceId(instance)).value());
    if (instance != self && second->second.incarnation.identity == identity)
        peers[instance] = std::exchange(second->second, {});
    proto::LogEntry entry;
    entry.set_kind(proto::ENTRY_ADMIT);
    auto *slot = entry.add_identities();
    slot->set_instance(instance);
    slot->set_identity(identity);
    appendAsLeader(std::move(entry));
}

bool Replica::State::committedOwnTerm() const
{
    return log.termAt(commit) == hard.term();
}

} // namespace gentianramp
