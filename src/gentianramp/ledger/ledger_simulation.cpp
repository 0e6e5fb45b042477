#include "ledger_simulation.hpp"

#include "witness_table.hpp"

#include <algorithm>
#include <gentianramp/core/invariant.hpp>

namespace gentianramp::testing {

namespace {

using namespace std::chrono_literals;

constexpr Duration Step = 50ms;
constexpr Duration MessageLifetime = 1s; ///< As the links between processes drop older ones.
constexpr Duration SettleTime = 60s;
constexpr std::size_t CompactAfter = 20;

StoredLog storedIn(const MemoryDisk &disk)
{
    MemoryDisk copy;
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

LedgerRun::LedgerRun(ScheduleOptions options)
    : m_options(options)
    , m_random(options.seed)
{
    setInvariantHook([this](std::string_view name, std::string_view detail) {
        m_broken.push_back("invariant " + std::string(name) + " " + std::string(detail));
    });
    for (std::size_t i = 0; i < options.voters; ++i) {
        m_voters.push_back(std::make_unique<TestVoter>());
        m_voters.back()->instance = InstanceId("voter-" + std::to_string(i));
    }
}

void LedgerRun::found()
{
    for (std::size_t i = 0; i < m_voters.size(); ++i) {
        LogStore store(m_voters[i]->disk.disk());
        require(!store.initialise(m_random()), "an empty folder can be initialised");
        start(i);
    }
    for (int tries = 0; tries < 10 && !leader(); ++tries)
        run(10s);
    require(leader().has_value(), "a founded ledger has a leader");
}

void LedgerRun::start(std::size_t index)
{
    TestVoter &voter = *m_voters[index];
    if (voter.replica)
        return;
    voter.store = std::make_unique<LogStore>(voter.disk.disk());
    Result<StoredLog> stored = voter.store->open(m_random());
    require(static_cast<bool>(stored), "a folder opens after a crash: " + stored.message());
    if (!stored)
        return;
    voter.configuration = ConfigurationStore({.results = 100000});
    if (stored->snapshot.index() > 0)
        require(!voter.configuration.restore(stored->snapshot.state()), "a snapshot loads");
    voter.applied = stored->snapshot.index();
    ReplicaOptions options;
    options.self = voter.instance;
    for (const auto &each : m_voters)
        options.voters.push_back(each->instance);
    options.seed = m_random();
    options.retainedEntries = 8;
    voter.paused = false;
    voter.held.clear();
    voter.replica = std::make_unique<Replica>(options, std::move(stored).value(), m_now);
    perform(index, voter.replica->tick(m_now));
    if (voter.identityInForce == voter.replica->identity() && voter.oldCopy.empty())
        require(voter.configuration.revision() >= voter.inForce,
                "a restart does not bring an older configuration back");
}

void LedgerRun::crash(std::size_t index)
{
    m_voters[index]->replica.reset();
    m_voters[index]->store.reset();
    m_voters[index]->disk.crash(m_random);
}

void LedgerRun::loseDisk(std::size_t index)
{
    crash(index);
    m_voters[index]->disk.files.clear();
}

void LedgerRun::run(Duration time)
{
    const TimePoint end = m_now + time;
    while (m_now < end) {
        m_now += Step;
        while (!m_network.empty() && m_network.begin()->first <= m_now) {
            const Flight flight = m_network.begin()->second;
            m_network.erase(m_network.begin());
            deliver(flight);
        }
        tickAll();
    }
}

void LedgerRun::deliver(const Flight &flight)
{
    TestVoter &voter = *m_voters[flight.to];
    if (!voter.replica || m_cut[flight.from] != m_cut[flight.to])
        return;
    if (voter.paused) {
        voter.held.push_back({m_now, m_voters[flight.from]->instance, flight.message});
        return;
    }
    perform(flight.to, voter.replica->step(m_voters[flight.from]->instance, flight.message, m_now));
}

void LedgerRun::tickAll()
{
    for (std::size_t i = 0; i < m_voters.size(); ++i) {
        TestVoter &voter = *m_voters[i];
        if (!voter.replica || voter.paused)
            continue;
        for (const HeldMessage &held : std::exchange(voter.held, {})) {
            if (voter.replica && m_now - held.arrived < MessageLifetime)
                perform(i, voter.replica->step(held.from, held.message, m_now));
        }
        if (voter.replica && m_now >= voter.replica->nextTick())
            perform(i, voter.replica->tick(m_now));
    }
}

void LedgerRun::perform(std::size_t index, ReplicaOutput output)
{
    TestVoter &voter = *m_voters[index];
    if (!persist(index, output))
        return crash(index);
    if (output.loadSnapshot) {
        require(!voter.configuration.restore(output.snapshot->state()), "a snapshot loads");
        voter.applied = output.snapshot->index();
        noteState(index);
    }
    for (const proto::LogEntry &entry : output.committed)
        applyCommitted(index, entry);
    for (const ConfirmedRead &read : output.confirmedReads) {
        m_confirmed.insert(read.id);
        require(voter.configuration.revision().value() >= m_reads[read.id],
                "a confirmed read shows every accepted revision");
    }
    noteLeader(index);
    for (OutgoingMessage &message : output.messages) {
        const auto to = std::find_if(m_voters.begin(), m_voters.end(), [&](const auto &each) {
            return each->instance == message.to;
        });
        const Flight flight{index, static_cast<std::size_t>(to - m_voters.begin()),
                            std::move(message.message)};
        std::uniform_int_distribution<int> delay(1, 400);
        for (int copies = chance(m_options.duplicateShare) ? 2 : 1; copies > 0; --copies) {
            if (!chance(m_options.dropShare))
                m_network.emplace(m_now + std::chrono::milliseconds(delay(m_random)), flight);
        }
    }
    compactSometimes(index);
}

bool LedgerRun::persist(std::size_t index, const ReplicaOutput &output)
{
    if (!output.record)
        return true;
    return !m_voters[index]->store->write(output.snapshot, *output.record);
}

void LedgerRun::applyCommitted(std::size_t index, const proto::LogEntry &entry)
{
    TestVoter &voter = *m_voters[index];
    require(entry.index() == voter.applied + 1, "entries are applied in order");
    voter.applied = entry.index();
    const std::string bytes = entry.SerializeAsString();
    const auto [known, isNew] = m_committed.emplace(entry.index(), bytes);
    require(isNew || known->second == bytes,
            "a committed entry never changes, at " + std::to_string(entry.index()));
    if (entry.kind() == proto::ENTRY_COMMAND) {
        const Revision before = voter.configuration.revision();
        const CommandAnswer answer = voter.configuration.apply(entry.command());
        require(voter.configuration.revision() >= before, "the revision never goes back");
        proto::ConfigurationCommand command;
        command.ParseFromString(entry.command());
        noteAnswer(command.command_id(), answer);
    }
    voter.inForce = voter.configuration.revision();
    voter.identityInForce = voter.replica->identity();
    noteState(index);
}

void LedgerRun::noteState(std::size_t index)
{
    const TestVoter &voter = *m_voters[index];
    const std::string state = voter.configuration.snapshot();
    const auto [known, isNew] = m_states.emplace(voter.applied, state);
    require(isNew || known->second == state, "equal logs give equal states");
}

void LedgerRun::noteAnswer(const std::string &id, const CommandAnswer &answer)
{
    Command &command = m_commands[id];
    if (!command.first) {
        command.first = answer;
        if (answer.outcome == CommandOutcome::Accepted) {
            ++m_accepted;
            require(answer.revision.value() == m_highestAccepted + 1, "revisions grow by one");
            m_highestAccepted = answer.revision.value();
        }
    }
    require(*command.first == answer, "a resend gets the first answer: " + id);
}

void LedgerRun::noteLeader(std::size_t index)
{
    const Replica &replica = *m_voters[index]->replica;
    if (replica.role() != ReplicaRole::Leader)
        return;
    const std::string name = m_voters[index]->instance.value();
    const auto [known, isNew] = m_leaders.emplace(replica.term().value(), name);
    require(known->second == name, "one leader a term");
}

void LedgerRun::compactSometimes(std::size_t index)
{
    TestVoter &voter = *m_voters[index];
    if (!voter.replica || voter.applied < voter.replica->snapshotIndex().value() + CompactAfter)
        return;
    perform(index, voter.replica->compact(LogIndex(voter.applied), voter.configuration.snapshot()));
}

std::optional<std::size_t> LedgerRun::leader() const
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

std::string LedgerRun::propose(const std::string &configuration)
{
    std::string id = "command-" + std::to_string(m_commandOrder.size());
    const std::size_t target = leader().value_or(anyVoter());
    ConfigurationProposal proposal{.command = CommandId(id), .configuration = configuration};
    proposal.base = m_voters[target]->configuration.revision();
    m_commands[id].proposal = proposal;
    m_commandOrder.push_back(id);
    send(proposal, target);
    return id;
}

bool LedgerRun::accepted(const std::string &command) const
{
    const auto &first = m_commands.at(command).first;
    return first && first->outcome == CommandOutcome::Accepted;
}

void LedgerRun::send(const ConfigurationProposal &proposal, std::size_t index)
{
    TestVoter &voter = *m_voters[index];
    if (!voter.replica || voter.paused)
        return;
    if (const auto answer = voter.configuration.remembered(proposal)) {
        noteAnswer(proposal.command.value(), *answer);
        return;
    }
    ReplicaOutput output;
    if (voter.replica->propose(voter.configuration.encodeCommand(proposal), m_now, output))
        perform(index, std::move(output));
}

void LedgerRun::runSchedule()
{
    for (int step = 0; step < m_options.steps; ++step) {
        run(Step);
        if (chance(0.15))
            randomCommand();
        if (chance(0.05))
            randomResend();
        if (chance(0.2))
            randomRead();
        if (chance(0.06))
            randomFault();
    }
}

void LedgerRun::randomCommand()
{
    const std::string text = "configuration " + std::to_string(m_random());
    propose(text);
    if (chance(0.3))
        propose(text + " of a rival");
}

void LedgerRun::randomResend()
{
    if (m_commandOrder.empty())
        return;
    std::uniform_int_distribution<std::size_t> pick(0, m_commandOrder.size() - 1);
    const Command &command = m_commands[m_commandOrder[pick(m_random)]];
    send(command.proposal, chance(0.7) ? leader().value_or(anyVoter()) : anyVoter());
}

void LedgerRun::randomRead()
{
    const std::size_t index = anyVoter();
    if (!m_voters[index]->replica || m_voters[index]->paused)
        return;
    m_reads[m_nextRead] = m_highestAccepted;
    perform(index, m_voters[index]->replica->requestRead(m_nextRead++, m_now));
}

void LedgerRun::randomFault()
{
    const std::size_t index = anyVoter();
    TestVoter &voter = *m_voters[index];
    switch (std::uniform_int_distribution<int>(0, 9)(m_random)) {
    case 0:
        if (m_options.crashes)
            crash(index);
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
            m_cut[index] = !m_cut[index];
        break;
    case 6:
        m_cut.clear();
        break;
    case 7:
        if (m_options.diskFaults && voter.replica)
            voter.disk.fault = chance(0.5) ? DiskFault::FailedSync : DiskFault::FullDisk;
        break;
    case 8:
        if (m_options.lostDisks && mayLoseFolder(index))
            loseDisk(index);
        break;
    default:
        if (m_options.staleDisks && chance(0.5))
            voter.oldCopy = voter.disk.files;
        else if (m_options.staleDisks && !voter.oldCopy.empty())
            rollBack(index);
        break;
    }
}

/// Without a majority of folders that are admitted in the logs of a majority, the ledger would
/// rightly stop for good.
bool LedgerRun::mayLoseFolder(std::size_t index) const
{
    std::vector<std::uint64_t> identities;
    std::vector<IdentityMap> admissions;
    for (const auto &voter : m_voters) {
        const StoredLog stored = storedIn(voter->disk);
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

void LedgerRun::restoreCopy(std::size_t index)
{
    crash(index);
    run(MessageLifetime);
    m_voters[index]->disk.files = m_voters[index]->oldCopy;
    start(index);
}

void LedgerRun::handOver(std::size_t index)
{
    perform(index, m_voters[index]->replica->handOver(m_now));
}

bool LedgerRun::confirmsRead(std::size_t index)
{
    const std::uint64_t id = m_nextRead++;
    m_reads[id] = m_highestAccepted;
    perform(index, m_voters[index]->replica->requestRead(id, m_now));
    run(5s);
    return m_confirmed.contains(id);
}

/// True when every other voter's disk shows that the old copy of this folder is old.
bool LedgerRun::othersRemember(std::size_t index) const
{
    MemoryDisk copy;
    copy.files = m_voters[index]->oldCopy;
    const StoredLog old = storedIn(copy);
    const Life life{old.hardState.identity(), old.hardState.boot(), 0, old.hardState.term()};
    const StartState start{old.hardState.term(), lastIndexOf(old)};
    for (std::size_t i = 0; i < m_voters.size(); ++i) {
        if (i == index)
            continue;
        const auto known = storedIn(m_voters[i]->disk).hardState.witnesses();
        if (std::none_of(known.begin(), known.end(), [&](const proto::Witness &witness) {
                return witness.instance() == m_voters[index]->instance.value()
                    && provesRollback(witness, life, start);
            }))
            return false;
    }
    return true;
}

void LedgerRun::rollBack(std::size_t index)
{
    if (!mayLoseFolder(index) || !othersRemember(index))
        return;
    restoreCopy(index);
    m_voters[index]->rolledBackIdentity = storedIn(m_voters[index]->disk).hardState.identity();
    m_voters[index]->oldCopy.clear();
}

void LedgerRun::settle()
{
    m_cut.clear();
    m_options.dropShare = 0;
    for (std::size_t i = 0; i < m_voters.size(); ++i) {
        m_voters[i]->paused = false;
        m_voters[i]->disk.fault = DiskFault::None;
        start(i);
    }
    run(SettleTime);
    require(leader().has_value(), "a settled ledger has a leader");
    const std::string last = propose("the last configuration");
    run(5s);
    require(accepted(last), "a settled ledger accepts a change");
    for (const auto &voter : m_voters) {
        require(voter->replica && voter->replica->admitted(), "every voter is admitted again");
        require(voter->configuration.revision().value() == m_highestAccepted,
                "every voter has every accepted revision");
    }
}

bool LedgerRun::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

std::size_t LedgerRun::anyVoter()
{
    return std::uniform_int_distribution<std::size_t>(0, m_voters.size() - 1)(m_random);
}

void LedgerRun::require(bool holds, const std::string &what)
{
    if (!holds && std::find(m_broken.begin(), m_broken.end(), what) == m_broken.end())
        m_broken.push_back(what);
}

} // namespace gentianramp::testing
