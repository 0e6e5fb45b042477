#include "ledger_simulation.hpp"

#include "witness_table.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <gentianramp/core/invariant.hpp>
#include <limits>

namespace gentianramp::testing {

namespace {

using namespace std::chrono_literals;

constexpr Duration TickInterval = 50ms;
/// Messages that a paused receiver holds for longer are dropped, as the mesh does.
constexpr Duration MessageLifetime = 1s;
constexpr Duration SettleTime = 60s;
constexpr std::size_t CompactAfter = 20;
/// Elections within which a connected majority has to have a leader that stays in office. Messages
/// take up to 0.4 s here, so that elections with split votes are frequent.
constexpr int MaxElections = 8;
/// How long a caller may have held on to the time that it passes on.
constexpr Duration MaxHeldTime = 100ms;
constexpr Duration MaxClockStart = 240h;
/// Bounds the time over which clocks of different rates are compared for a confirmation.
constexpr Duration ConfirmationLifetime = 60s;
/// Reported because of ScheduleOptions::earlierTimeShare.
constexpr std::string_view EarlierTimeInvariant = "ledger.time_never_goes_back";

StoredLog loadStoredLog(const MemoryDataFolder &disk)
{
    MemoryDataFolder copy;
    copy.files = disk.files;
    LogStore store(copy.disk());
    const Result<StoredLog> log = store.open(1);
    return log ? log.value() : StoredLog{};
}

std::uint64_t lastIndexOf(const StoredLog &log)
{
    return log.entries.empty() ? log.snapshot.index() : log.entries.back().index();
}

} // namespace

LedgerSimulation::LedgerSimulation(ScheduleOptions options)
    : m_options(options)
    , m_random(options.seed)
{
    setInvariantHook([this](std::string_view name, std::string_view detail) {
        if (name != EarlierTimeInvariant || m_options.earlierTimeShare == 0)
            m_violations.push_back("invariant " + std::string(name) + " " + std::string(detail));
    });
    for (std::size_t i = 0; i < options.voters; ++i) {
        m_slots.emplace_back("voter-" + std::to_string(i));
        m_voters.push_back(std::make_unique<TestVoter>());
        m_voters.back()->instance = m_slots.back();
    }
    for (std::size_t i = 0; i < options.spares; ++i)
        m_voters.push_back(std::make_unique<TestVoter>());
    if (m_options.clockDrift > 0)
        startClocks();
}

void LedgerSimulation::startClocks()
{
    std::uniform_int_distribution<Duration::rep> start(0, MaxClockStart.count());
    std::uniform_real_distribution<double> deviation(-m_options.clockDrift, m_options.clockDrift);
    for (auto &voter : m_voters) {
        voter->clockStart = Duration(start(m_random));
        voter->clockRate = 1 + deviation(m_random);
    }
}

TimePoint LedgerSimulation::localTime(std::size_t index) const
{
    const TestVoter &voter = *m_voters[index];
    const std::chrono::duration<double, std::nano> shown = m_now.time_since_epoch();
    return TimePoint(voter.clockStart
                     + std::chrono::duration_cast<Duration>(shown * voter.clockRate));
}

TimePoint LedgerSimulation::simulatedTime(std::size_t index, TimePoint local) const
{
    const TestVoter &voter = *m_voters[index];
    const std::chrono::duration<double, std::nano> shown
        = local.time_since_epoch() - voter.clockStart;
    return TimePoint(std::chrono::duration_cast<Duration>(shown / voter.clockRate));
}

TimePoint LedgerSimulation::callTime(std::size_t index)
{
    const TimePoint now = localTime(index);
    if (m_options.earlierTimeShare == 0 || !withProbability(m_options.earlierTimeShare))
        return now;
    std::uniform_int_distribution<Duration::rep> held(1, MaxHeldTime.count());
    return now - Duration(held(m_random));
}

void LedgerSimulation::found()
{
    for (std::size_t i = 0; i < m_slots.size(); ++i) {
        LogStore store(m_voters[i]->disk.disk());
        check(!store.initialise(m_random()), "LogStore::initialise() succeeds on an empty folder");
        start(i);
    }
    for (int tries = 0; tries < 10 && !leader(); ++tries)
        run(10s);
    check(leader().has_value(), "a leader is elected within 100 s of founding");
}

void LedgerSimulation::start(std::size_t index)
{
    TestVoter &voter = *m_voters[index];
    if (voter.replica || voter.instance.value().empty())
        return;
    voter.store = std::make_unique<LogStore>(voter.disk.disk());
    Result<StoredLog> stored = voter.store->open(m_random());
    check(static_cast<bool>(stored),
          "LogStore::open() succeeds after a crash: " + stored.message());
    if (!stored)
        return;
    voter.configuration = ConfigurationStore({.results = 100000});
    if (stored->snapshot.index() > 0)
        check(!voter.configuration.restore(stored->snapshot.state()), "a snapshot loads");
    voter.applied = stored->snapshot.index();
    ReplicaOptions options;
    options.self = voter.instance;
    options.voters = m_slots;
    options.seed = m_random();
    options.retainedEntries = 8;
    options.namesSuccessors = m_options.spares > 0;
    voter.paused = false;
    voter.deferred.clear();
    voter.replica = std::make_unique<Replica>(options, std::move(stored).value(), localTime(index));
    perform(index, voter.replica->tick(localTime(index)));
    // A folder that was rolled back starts with less until another voter tells it.
    if (voter.lastRevisionIdentity == voter.replica->identity() && voter.folderCopy.empty()
        && voter.rolledBackIdentity != voter.replica->identity())
        check(voter.configuration.revision() >= voter.lastRevision,
              "the revision after a restart is not older than before");
}

void LedgerSimulation::crash(std::size_t index)
{
    m_voters[index]->replica.reset();
    m_voters[index]->store.reset();
    m_voters[index]->disk.crash(m_random);
}

void LedgerSimulation::kill(std::size_t index)
{
    m_voters[index]->replica.reset();
    m_voters[index]->store.reset();
    m_voters[index]->disk.kill();
}

void LedgerSimulation::loseDisk(std::size_t index)
{
    crash(index);
    m_voters[index]->disk.files.clear();
}

void LedgerSimulation::run(Duration time)
{
    const TimePoint end = m_now + time;
    while (m_now < end) {
        m_now += TickInterval;
        while (!m_network.empty() && m_network.begin()->first <= m_now) {
            const MessageInTransit inTransit = m_network.begin()->second;
            m_network.erase(m_network.begin());
            deliver(inTransit);
        }
        tickAll();
    }
}

void LedgerSimulation::deliver(const MessageInTransit &inTransit)
{
    TestVoter &voter = *m_voters[inTransit.to];
    const std::pair link(inTransit.from, inTransit.to);
    if (!voter.replica || m_isolated[inTransit.from] != m_isolated[inTransit.to]
        || m_cutLinks.contains(link) || m_lastingCuts.contains(link))
        return;
    if (voter.paused) {
        voter.deferred.push_back(
            {m_now, senderName(inTransit.from, inTransit.to, inTransit.message.identity()),
             inTransit.message});
        return;
    }
    proto::LedgerMessage message = inTransit.message;
    if (m_options.impossibleAgeShare > 0 && withProbability(m_options.impossibleAgeShare))
        makeAgeImpossible(message);
    const InstanceId sender = senderName(inTransit.from, inTransit.to, message.identity());
    perform(inTransit.to, voter.replica->step(sender, message, callTime(inTransit.to)));
}

/// Age of an answer that was received after the message was sent, in the message's unsigned field.
void LedgerSimulation::makeAgeImpossible(proto::LedgerMessage &message)
{
    std::uniform_int_distribution<std::uint32_t> wrapped(
        std::numeric_limits<std::uint32_t>::max() / 2, std::numeric_limits<std::uint32_t>::max());
    if (message.append_request().has_confirmation())
        message.mutable_append_request()->mutable_confirmation()->set_answered_ms(
            wrapped(m_random));
    if (message.snapshot_request().has_confirmation())
        message.mutable_snapshot_request()->mutable_confirmation()->set_answered_ms(
            wrapped(m_random));
}

std::optional<VoterView> LedgerSimulation::viewOf(std::size_t index, const InstanceId &slot) const
{
    if (!m_voters[index]->replica)
        return std::nullopt;
    for (const VoterView &view : m_voters[index]->replica->voters()) {
        if (view.instance == slot)
            return view;
    }
    return std::nullopt;
}

InstanceId LedgerSimulation::senderName(std::size_t sender, std::size_t receiver,
                                        std::uint64_t identity) const
{
    const InstanceId &slot = m_voters[sender]->instance;
    if (m_options.spares == 0)
        return slot;
    const std::optional<VoterView> view = viewOf(receiver, slot);
    const bool isHolder = slot != m_voters[receiver]->instance && view
        && (view->identity == identity || view->identity == 0);
    return isHolder ? slot : successorName(slot);
}

std::optional<std::size_t> LedgerSimulation::receiverOf(std::size_t sender,
                                                        const InstanceId &name) const
{
    const InstanceId slot = slotOf(name);
    const std::optional<VoterView> view = viewOf(sender, slot);
    std::optional<std::size_t> found;
    for (std::size_t i = 0; i < m_voters.size(); ++i) {
        const TestVoter &voter = *m_voters[i];
        if (i == sender || voter.instance != slot || !voter.replica)
            continue;
        if (m_options.spares == 0)
            return i;
        const std::uint64_t identity = voter.replica->identity();
        const bool isHolder = view && (view->identity == identity || view->identity == 0);
        const bool isSecond = slot == m_voters[sender]->instance || !isHolder;
        if (isSecond != (name != slot))
            continue;
        // A folder without entries knows no holders; it answers the leader.
        const bool isPreferred
            = (view && view->successor == identity) || voter.replica->role() == ReplicaRole::Leader;
        if (!found || isPreferred)
            found = i;
    }
    return found;
}

std::uint64_t LedgerSimulation::storedIdentity(std::size_t index) const
{
    const TestVoter &voter = *m_voters[index];
    return voter.replica ? voter.replica->identity()
                         : loadStoredLog(voter.disk).hardState.identity();
}

std::optional<std::size_t> LedgerSimulation::idleSpare() const
{
    for (std::size_t i = 0; i < m_voters.size(); ++i) {
        if (m_voters[i]->instance.value().empty())
            return i;
    }
    return std::nullopt;
}

void LedgerSimulation::moveSlot(std::size_t slot)
{
    const std::optional<std::size_t> spare = idleSpare();
    if (!spare)
        return;
    m_voters[*spare]->disk = MemoryDataFolder();
    m_voters[*spare]->instance = m_slots[slot];
    m_voters[*spare]->lastRevisionIdentity = 0;
    m_moving = m_slots[slot];
    m_movingSince = m_now;
    start(*spare);
    m_movingIdentity = m_voters[*spare]->replica ? m_voters[*spare]->replica->identity() : 0;
}

/// What the leader's process does: tells the replica which slots have a second process that is to
/// take over, and releases processes that were replaced.
void LedgerSimulation::updateSuccessors()
{
    if (m_options.spares == 0)
        return;
    constexpr Duration moveTimeout = 5s;
    if (m_moving && m_now - m_movingSince > moveTimeout)
        m_moving.reset();
    for (std::size_t i = 0; i < m_voters.size(); ++i) {
        if (!m_voters[i]->replica || m_voters[i]->replica->role() != ReplicaRole::Leader)
            continue;
        std::set<InstanceId> slots;
        for (const VoterView &view : m_voters[i]->replica->voters()) {
            const bool isHeld
                = std::any_of(m_voters.begin(), m_voters.end(), [&](const auto &other) {
                      return other->instance == view.instance && other->replica
                          && other->replica->identity() == view.identity;
                  });
            if (!isHeld || m_moving == view.instance)
                slots.insert(view.instance);
        }
        m_voters[i]->replica->setSuccessors(slots);
        if (m_voters[i]->replica->foldersSettled() && !m_voters[i]->paused)
            releaseReplaced(i);
    }
}

void LedgerSimulation::releaseReplaced(std::size_t leader)
{
    const Replica &replica = *m_voters[leader]->replica;
    for (std::size_t i = 0; i < m_voters.size(); ++i) {
        TestVoter &voter = *m_voters[i];
        const std::optional<VoterView> view = viewOf(leader, voter.instance);
        if (i == leader || !view || !voter.replica || m_moving == voter.instance
            || voter.replica->term() > replica.term()
            || view->identity == voter.replica->identity())
            continue;
        const bool isHeldByAnother
            = std::any_of(m_voters.begin(), m_voters.end(), [&](const auto &other) {
                  return other.get() != &voter && other->instance == voter.instance
                      && other->replica && other->replica->identity() == view->identity;
              });
        if (!isHeldByAnother || m_isolated[i] != m_isolated[leader])
            continue;
        crash(i);
        voter.disk = MemoryDataFolder();
        voter.folderCopy.clear();
        voter.instance = InstanceId();
        ++m_moves;
    }
    if (m_moving) {
        const std::optional<VoterView> view = viewOf(leader, *m_moving);
        const auto claimants
            = std::count_if(m_voters.begin(), m_voters.end(),
                            [&](const auto &voter) { return voter->instance == *m_moving; });
        const bool isDone = view && view->identity == m_movingIdentity;
        if (claimants < 2 || isDone)
            m_moving.reset();
    }
}

void LedgerSimulation::tickAll()
{
    updateSuccessors();
    for (std::size_t i = 0; i < m_voters.size(); ++i) {
        TestVoter &voter = *m_voters[i];
        if (!voter.replica || voter.paused)
            continue;
        for (const DeferredMessage &deferred : std::exchange(voter.deferred, {})) {
            if (voter.replica && m_now - deferred.arrived < MessageLifetime)
                perform(i, voter.replica->step(deferred.from, deferred.message, callTime(i)));
        }
        if (voter.replica && localTime(i) >= voter.replica->nextTick())
            perform(i, voter.replica->tick(callTime(i)));
    }
}

void LedgerSimulation::perform(std::size_t index, ReplicaOutput output)
{
    TestVoter &voter = *m_voters[index];
    if (!persist(index, output))
        return withProbability(0.5) ? crash(index) : kill(index);
    if (output.loadSnapshot) {
        check(!voter.configuration.restore(output.snapshot->state()), "a snapshot loads");
        voter.applied = output.snapshot->index();
        checkState(index);
    }
    for (const proto::LogEntry &entry : output.committed)
        applyCommitted(index, entry);
    for (const ConfirmedRead &read : output.confirmedReads) {
        m_confirmed.insert(read.id);
        check(voter.configuration.revision().value() >= m_reads[read.id],
              "a confirmed read returns every revision accepted before it");
    }
    checkLeader(index);
    for (OutgoingMessage &message : output.messages) {
        const std::optional<std::size_t> to = receiverOf(index, message.to);
        if (!to)
            continue;
        const MessageInTransit inTransit{index, *to, std::move(message.message)};
        std::uniform_int_distribution<int> delay(1, 400);
        for (int copies = withProbability(m_options.duplicateShare) ? 2 : 1; copies > 0; --copies) {
            if (!withProbability(m_options.dropShare))
                m_network.emplace(m_now + std::chrono::milliseconds(delay(m_random)), inTransit);
        }
    }
    checkConfirmation(index);
    compactIfDue(index);
}

bool LedgerSimulation::persist(std::size_t index, const ReplicaOutput &output)
{
    if (!output.record)
        return true;
    return !m_voters[index]->store->write(output.snapshot, *output.record);
}

void LedgerSimulation::applyCommitted(std::size_t index, const proto::LogEntry &entry)
{
    TestVoter &voter = *m_voters[index];
    check(entry.index() == voter.applied + 1, "committed entries are applied in index order");
    voter.applied = entry.index();
    const std::string bytes = entry.SerializeAsString();
    const auto [known, isNew] = m_committed.emplace(entry.index(), bytes);
    check(isNew || known->second == bytes,
          "every voter commits the same entry at index " + std::to_string(entry.index()));
    if (entry.kind() == proto::ENTRY_COMMAND) {
        const Revision before = voter.configuration.revision();
        const CommandAnswer answer = voter.configuration.apply(entry.command());
        check(voter.configuration.revision() >= before,
              "applying a command never lowers the revision");
        proto::ConfigurationCommand command;
        command.ParseFromString(entry.command());
        checkAnswer(command.command_id(), answer);
    }
    voter.lastRevision = voter.configuration.revision();
    voter.lastRevisionIdentity = voter.replica->identity();
    checkState(index);
}

void LedgerSimulation::checkState(std::size_t index)
{
    const TestVoter &voter = *m_voters[index];
    const std::string state = voter.configuration.snapshot();
    const auto [known, isNew] = m_states.emplace(voter.applied, state);
    check(isNew || known->second == state,
          "voters that applied the same index have the same state");
}

void LedgerSimulation::checkAnswer(const std::string &id, const CommandAnswer &answer)
{
    Command &command = m_commands[id];
    if (!command.first) {
        command.first = answer;
        if (answer.outcome == CommandOutcome::Accepted) {
            ++m_accepted;
            m_acceptedAt.push_back(m_now);
            check(answer.revision.value() == m_highestAccepted + 1,
                  "each accepted command raises the revision by one");
            m_highestAccepted = answer.revision.value();
        }
    }
    check(*command.first == answer, "a resent command gets its first answer: " + id);
}

void LedgerSimulation::checkLeader(std::size_t index)
{
    const Replica &replica = *m_voters[index]->replica;
    if (replica.role() != ReplicaRole::Leader)
        return;
    const std::string name = std::to_string(index);
    const auto [known, isNew] = m_leaders.emplace(replica.term().value(), name);
    check(known->second == name, "a term has one leader");
}

void LedgerSimulation::checkConfirmation(std::size_t index)
{
    const TestVoter &voter = *m_voters[index];
    const std::optional<TimePoint> confirmed = voter.replica->confirmedAt();
    if (!confirmed)
        return;
    check(*confirmed <= localTime(index), "no confirmation is dated after the present");
    const Duration difference = std::chrono::duration_cast<Duration>(
        2 * m_options.clockDrift * std::chrono::duration<double, std::nano>(ConfirmationLifetime));
    const auto before = std::lower_bound(m_acceptedAt.begin(), m_acceptedAt.end(),
                                         simulatedTime(index, *confirmed) - difference);
    check(voter.configuration.revision().value()
              >= static_cast<std::uint64_t>(before - m_acceptedAt.begin()),
          "every command accepted before confirmedAt() is applied");
}

bool LedgerSimulation::connected(std::size_t first, std::size_t second) const
{
    const auto isolated = [this](std::size_t voter) {
        const auto found = m_isolated.find(voter);
        return found != m_isolated.end() && found->second;
    };
    const auto cut = [this](std::pair<std::size_t, std::size_t> link) {
        return m_cutLinks.contains(link) || m_lastingCuts.contains(link);
    };
    return isolated(first) == isolated(second) && !cut({first, second}) && !cut({second, first});
}

/// True when a majority of voters runs, all of them reach each other in both directions, and each
/// of their logs admits the folders of all of them.
bool LedgerSimulation::majorityConnected() const
{
    const auto accepts = [this](std::size_t voter, std::size_t other) {
        const TestVoter &first = *m_voters[voter];
        const TestVoter &second = *m_voters[other];
        if (!first.replica || !second.replica || first.paused || second.paused)
            return false;
        // Its votes count no more, although logs still admit it.
        if (first.rolledBackIdentity == first.replica->identity())
            return false;
        const std::optional<VoterView> view = viewOf(voter, second.instance);
        return connected(voter, other) && view && view->successor == 0
            && view->identity == second.replica->identity();
    };
    for (unsigned members = 0; members < 1U << m_voters.size(); ++members) {
        bool fits = static_cast<std::size_t>(std::popcount(members)) > m_slots.size() / 2;
        for (std::size_t i = 0; i < m_voters.size(); ++i) {
            for (std::size_t j = 0; j < m_voters.size(); ++j) {
                const bool bothMembers = (members >> i & 1U) != 0 && (members >> j & 1U) != 0;
                fits = fits && (!bothMembers || accepts(i, j));
            }
        }
        if (fits)
            return true;
    }
    return false;
}

void LedgerSimulation::checkLiveness()
{
    for (auto &voter : m_voters)
        voter->disk.fault = DiskFault::None;
    if (!majorityConnected())
        return;
    ++m_livenessChecks;
    const double dropShare = std::exchange(m_options.dropShare, 0);
    const ReplicaOptions timeOuts;
    run(MaxElections * 2 * timeOuts.electionTimeout + timeOuts.heartbeatInterval);
    const auto elected = leader();
    check(elected.has_value(), "a connected majority elects a leader");
    const std::string command = propose("configuration of a connected majority");
    const bool confirmed = elected && confirmsRead(*elected);
    check(!elected || confirmed, "the leader of a connected majority confirms a read");
    check(!elected || accepted(command), "the leader of a connected majority accepts a change");
    m_options.dropShare = dropShare;
}

void LedgerSimulation::compactIfDue(std::size_t index)
{
    TestVoter &voter = *m_voters[index];
    if (!voter.replica || voter.applied < voter.replica->snapshotIndex().value() + CompactAfter)
        return;
    perform(index, voter.replica->compact(LogIndex(voter.applied), voter.configuration.snapshot()));
}

std::optional<std::size_t> LedgerSimulation::leader() const
{
    std::optional<std::size_t> found;
    for (std::size_t i = 0; i < m_voters.size(); ++i) {
        const auto &replica = m_voters[i]->replica;
        if (!replica || m_voters[i]->paused || replica->role() != ReplicaRole::Leader)
            continue;
        if (!found || replica->term() > m_voters[*found]->replica->term())
            found = i;
    }
    return found;
}

std::string LedgerSimulation::propose(const std::string &configuration)
{
    std::string id = "command-" + std::to_string(m_commandOrder.size());
    const std::size_t target = leader().value_or(randomVoter());
    ConfigurationProposal proposal{.command = CommandId(id), .configuration = configuration};
    proposal.base = m_voters[target]->configuration.revision();
    m_commands[id].proposal = proposal;
    m_commandOrder.push_back(id);
    send(proposal, target);
    return id;
}

bool LedgerSimulation::accepted(const std::string &command) const
{
    const auto &first = m_commands.at(command).first;
    return first && first->outcome == CommandOutcome::Accepted;
}

void LedgerSimulation::send(const ConfigurationProposal &proposal, std::size_t index)
{
    TestVoter &voter = *m_voters[index];
    if (!voter.replica || voter.paused)
        return;
    if (const auto answer = voter.configuration.remembered(proposal)) {
        checkAnswer(proposal.command.value(), *answer);
        return;
    }
    ReplicaOutput output;
    if (voter.replica->propose(voter.configuration.encodeCommand(proposal), callTime(index),
                               output))
        perform(index, std::move(output));
}

void LedgerSimulation::runSchedule()
{
    std::uniform_int_distribution<std::size_t> lastingCuts(0, m_voters.size() / 4);
    for (std::size_t cuts = m_options.oneWayCuts ? lastingCuts(m_random) : 0; cuts > 0; --cuts)
        cutRandomLink(m_lastingCuts);
    for (int step = 0; step < m_options.steps; ++step) {
        run(TickInterval);
        if (m_options.spares > 0 && !m_moving && withProbability(0.02))
            moveSlot(std::uniform_int_distribution<std::size_t>(0, m_slots.size() - 1)(m_random));
        if (withProbability(0.15))
            randomCommand();
        if (withProbability(0.05))
            randomResend();
        if (withProbability(0.2))
            randomRead();
        if (withProbability(0.06))
            randomFault();
        if (withProbability(0.003))
            checkLiveness();
    }
}

void LedgerSimulation::randomCommand()
{
    const std::string text = "configuration " + std::to_string(m_random());
    propose(text);
    if (withProbability(0.3))
        propose(text + " of a rival");
}

void LedgerSimulation::randomResend()
{
    if (m_commandOrder.empty())
        return;
    std::uniform_int_distribution<std::size_t> pick(0, m_commandOrder.size() - 1);
    const Command &command = m_commands[m_commandOrder[pick(m_random)]];
    send(command.proposal, withProbability(0.7) ? leader().value_or(randomVoter()) : randomVoter());
}

void LedgerSimulation::randomRead()
{
    const std::size_t index = randomVoter();
    if (!m_voters[index]->replica || m_voters[index]->paused)
        return;
    m_reads[m_nextRead] = m_highestAccepted;
    perform(index, m_voters[index]->replica->requestRead(m_nextRead++, callTime(index)));
}

void LedgerSimulation::randomFault()
{
    const std::size_t index = randomVoter();
    TestVoter &voter = *m_voters[index];
    switch (std::uniform_int_distribution<int>(0, 11)(m_random)) {
    case 0:
        if (m_options.crashes)
            withProbability(0.5) ? crash(index) : kill(index);
        break;
    case 1:
    case 2:
        start(index);
        break;
    case 3:
        if (m_options.pauses)
            voter.paused = !voter.paused;
        break;
    case 4:
        for (auto &each : m_voters)
            each->paused = false;
        break;
    case 5:
        if (m_options.partitions)
            m_isolated[index] = !m_isolated[index];
        break;
    case 6:
        m_isolated.clear();
        m_cutLinks.clear();
        break;
    case 7:
        if (m_options.diskFaults && voter.replica)
            voter.disk.fault = randomDiskFault();
        break;
    case 8:
        if (m_options.lostDisks && canLoseFolder(index))
            loseDisk(index);
        break;
    case 9:
    case 10:
        if (m_options.oneWayCuts)
            cutRandomLink(m_cutLinks);
        break;
    default:
        if (m_options.staleDisks && withProbability(0.5))
            voter.folderCopy = voter.disk.files;
        else if (m_options.staleDisks && !voter.folderCopy.empty())
            rollBack(index);
        break;
    }
}

/// Cuts one link in one direction, all links from a voter, or all links to a voter.
void LedgerSimulation::cutRandomLink(std::set<std::pair<std::size_t, std::size_t>> &links)
{
    const std::size_t voter = randomVoter();
    const bool all = withProbability(0.4);
    const bool outgoing = withProbability(0.5);
    for (std::size_t other = 0; all && other < m_voters.size(); ++other) {
        if (other != voter)
            links.insert(outgoing ? std::pair(voter, other) : std::pair(other, voter));
    }
    if (all)
        return;
    const std::size_t other = randomVoter();
    if (other != voter)
        links.insert({voter, other});
}

/// True when the ledger can recover from the loss of this folder: a majority of folders remains,
/// each admitted in the logs of a majority. Otherwise the ledger stops for good, as designed.
bool LedgerSimulation::canLoseFolder(std::size_t index) const
{
    if (m_options.spares > 0)
        return canLoseFolderWhileSlotsMove(index);
    std::vector<std::uint64_t> identities;
    std::vector<IdentityMap> admissions;
    for (const auto &voter : m_voters) {
        const StoredLog stored = loadStoredLog(voter->disk);
        identities.push_back(stored.hardState.identity());
        admissions.push_back(ReplicatedLog(stored).identities());
    }
    std::size_t intact = 0;
    for (std::size_t i = 0; i < m_voters.size(); ++i) {
        if (i == index || identities[i] == m_voters[i]->rolledBackIdentity)
            continue;
        std::size_t admittedBy = 0;
        for (std::size_t j = 0; j < m_voters.size(); ++j) {
            const auto slot = admissions[j].find(m_voters[i]->instance.value());
            const bool admits = slot != admissions[j].end() && slot->second == identities[i];
            admittedBy += j != index && admits ? 1 : 0;
        }
        intact += admittedBy > m_voters.size() / 2 ? 1 : 0;
    }
    return intact > m_voters.size() / 2;
}

/// True when a majority of the folders remains of all that any log names, with the former and with
/// the new folder of each slot.
bool LedgerSimulation::canLoseFolderWhileSlotsMove(std::size_t index) const
{
    std::set<std::uint64_t> remaining;
    for (std::size_t i = 0; i < m_voters.size(); ++i) {
        if (i != index && !m_voters[i]->instance.value().empty())
            remaining.insert(loadStoredLog(m_voters[i]->disk).hardState.identity());
    }
    const auto hasMajority = [&](const IdentityMap &folders) {
        const auto count = std::count_if(folders.begin(), folders.end(), [&](const auto &slot) {
            return remaining.contains(slot.second);
        });
        return static_cast<std::size_t>(count) > m_slots.size() / 2;
    };
    for (const auto &voter : m_voters) {
        if (voter->instance.value().empty())
            continue;
        const ReplicatedLog log(loadStoredLog(voter->disk));
        // A folder that was emptied knows no ledger.
        if (log.identities().empty())
            continue;
        IdentityMap next = log.identities();
        for (const auto &[slot, identity] : log.successors())
            next[slot] = identity;
        if (!hasMajority(log.identities()) || !hasMajority(next))
            return false;
    }
    return true;
}

void LedgerSimulation::restoreCopy(std::size_t index)
{
    crash(index);
    run(MessageLifetime);
    m_voters[index]->disk.files = m_voters[index]->folderCopy;
    start(index);
}

void LedgerSimulation::transferLeadership(std::size_t index)
{
    perform(index, m_voters[index]->replica->transferLeadership(callTime(index)));
}

bool LedgerSimulation::confirmsRead(std::size_t index)
{
    const std::uint64_t id = m_nextRead++;
    m_reads[id] = m_highestAccepted;
    perform(index, m_voters[index]->replica->requestRead(id, callTime(index)));
    run(5s);
    return m_confirmed.contains(id);
}

/// True when the witnesses in every other voter's folder prove a rollback to the copy.
bool LedgerSimulation::othersDetectRollback(std::size_t index) const
{
    MemoryDataFolder copy;
    copy.files = m_voters[index]->folderCopy;
    const StoredLog old = loadStoredLog(copy);
    const VoterIncarnation incarnation{old.hardState.identity(), old.hardState.boot(), 0,
                                       old.hardState.term()};
    const StartState start{old.hardState.term(), lastIndexOf(old)};
    for (std::size_t i = 0; i < m_voters.size(); ++i) {
        if (i == index)
            continue;
        const auto known = loadStoredLog(m_voters[i]->disk).hardState.witnesses();
        if (std::none_of(known.begin(), known.end(), [&](const proto::Witness &witness) {
                return witness.instance() == m_voters[index]->instance.value()
                    && provesRollback(witness, incarnation, start);
            }))
            return false;
    }
    return true;
}

void LedgerSimulation::rollBack(std::size_t index)
{
    if (!canLoseFolder(index) || !othersDetectRollback(index))
        return;
    restoreCopy(index);
    m_voters[index]->rolledBackIdentity = loadStoredLog(m_voters[index]->disk).hardState.identity();
    m_voters[index]->folderCopy.clear();
}

void LedgerSimulation::settle()
{
    m_isolated.clear();
    m_cutLinks.clear();
    m_lastingCuts.clear();
    m_options.dropShare = 0;
    for (std::size_t i = 0; i < m_voters.size(); ++i) {
        m_voters[i]->paused = false;
        m_voters[i]->disk.fault = DiskFault::None;
        start(i);
    }
    run(SettleTime);
    check(leader().has_value(), "a leader is elected after all faults end");
    const std::string last = propose("the last configuration");
    run(5s);
    check(accepted(last), "a change is accepted after all faults end");
    for (const auto &voter : m_voters) {
        if (voter->instance.value().empty())
            continue;
        check(voter->replica && voter->replica->admitted(),
              "every voter is admitted after all faults end");
        check(voter->configuration.revision().value() == m_highestAccepted,
              "every voter reaches the highest accepted revision");
    }
}

DiskFault LedgerSimulation::randomDiskFault()
{
    constexpr std::array faults{DiskFault::FailedSync, DiskFault::FullDisk,
                                DiskFault::FailedFolderSync};
    return faults[std::uniform_int_distribution<std::size_t>(0, faults.size() - 1)(m_random)];
}

bool LedgerSimulation::withProbability(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

std::size_t LedgerSimulation::randomVoter()
{
    return std::uniform_int_distribution<std::size_t>(0, m_voters.size() - 1)(m_random);
}

void LedgerSimulation::check(bool holds, const std::string &what)
{
    if (!holds && std::find(m_violations.begin(), m_violations.end(), what) == m_violations.end())
        m_violations.push_back(what);
}

} // namespace gentianramp::testing
