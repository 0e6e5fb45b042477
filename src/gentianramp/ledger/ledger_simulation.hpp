#pragma once

#include "memory_data_folder.hpp"

#include <gentianramp/ledger/configuration_store.hpp>
#include <gentianramp/ledger/log_store.hpp>
#include <gentianramp/ledger/replica.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gentianramp::testing {

/// Faults that random schedules inject in addition to message delays.
struct ScheduleOptions
{
    std::size_t voters = 3;
    std::uint64_t seed = 1;
    double dropShare = 0.05;
    double duplicateShare = 0.05;
    bool crashes = true;
    bool pauses = true;
    bool partitions = true;
    /// Links that lose all messages in one direction: a few until settle(), others for a while.
    bool oneWayCuts = true;
    bool lostDisks = false;
    bool staleDisks = false;
    bool diskFaults = true;
    /// Share of the calls with an earlier time than the call before: their caller held on to it.
    double earlierTimeShare = 0;
    /// Share of the confirmations that arrive with an age that no sender can know of.
    double impossibleAgeShare = 0;
    /// Largest deviation of a voter's clock rate; clocks also start at different times. 0: all
    /// voters share one clock.
    double clockDrift = 0;
    /// Processes without a slot. Random slots move to them; a process that was replaced becomes
    /// one.
    std::size_t spares = 0;
    int steps = 4000;
};

/// A message that arrived while its receiver was paused; delivered when the receiver resumes.
struct DeferredMessage
{
    TimePoint arrived;
    InstanceId from;
    proto::LedgerMessage message;
};

/// One voter and its data folder; `replica` is empty while the process is down.
struct TestVoter
{
    InstanceId instance; ///< Its slot; empty for a spare.
    MemoryDataFolder disk;
    std::unique_ptr<LogStore> store;
    std::unique_ptr<Replica> replica;
    ConfigurationStore configuration;
    std::uint64_t applied = 0;
    bool paused = false;
    std::vector<DeferredMessage> deferred;
    std::uint64_t waitingRead = 0;
    Revision lastRevision;                  ///< After the last applied entry; kept across restarts.
    std::uint64_t lastRevisionIdentity = 0; ///< Identity of the folder with `lastRevision`.
    MemoryFiles folderCopy;                 ///< Earlier state of the folder, for a rollback.
    std::uint64_t rolledBackIdentity = 0;   ///< May never vote again; 0 when there is none.
    Duration clockStart{};                  ///< What its clock showed at the start of the run.
    double clockRate = 1;
};

/// Simulation of several voters with an unreliable network, reproducible by its seed; checks the
/// invariants of the ledger at each step and collects violations.
class LedgerSimulation
{
public:
    explicit LedgerSimulation(ScheduleOptions options);

    /// Founds the ledger on all voters.
    void found();
    /// Runs random faults and commands.
    void runSchedule();
    /// Ends all faults, waits until the ledger has recovered, and checks that it accepts a change.
    void settle();

    void start(std::size_t voter);
    /// The machine of the voter loses power.
    void crash(std::size_t voter);
    /// The process of the voter ends, its machine runs on.
    void kill(std::size_t voter);
    void loseDisk(std::size_t voter);
    /// Restarts the voter on the copy of its folder in `folderCopy`.
    void restoreCopy(std::size_t voter);
    void transferLeadership(std::size_t voter);
    /// Lets a spare replace the holder of the slot @p slot.
    void moveSlot(std::size_t slot);
    /// Requests a read from the voter and runs the simulation; false when the read is not
    /// confirmed.
    bool confirmsRead(std::size_t voter);
    /// Advances the simulated time without new faults.
    void run(Duration time);
    /// Isolated voters exchange messages with each other, but not with the others.
    void setIsolated(std::size_t voter, bool isolated) { m_isolated[voter] = isolated; }
    /// Index of the running leader of the highest term.
    std::optional<std::size_t> leader() const;
    /// Loses all messages from one voter to the other until mendLink() is called.
    void cutLink(std::size_t from, std::size_t to) { m_cutLinks.insert({from, to}); }
    void mendLink(std::size_t from, std::size_t to) { m_cutLinks.erase({from, to}); }
    /// Proposes on the leader's current revision; returns the command id.
    std::string propose(const std::string &configuration);
    bool accepted(const std::string &command) const;
    TestVoter &voter(std::size_t index) { return *m_voters[index]; }
    const std::vector<std::string> &violations() const { return m_violations; }
    std::size_t acceptedCount() const { return m_accepted; }
    /// Number of slots that moved to a spare.
    std::size_t moveCount() const { return m_moves; }
    /// Number of times that a majority was connected and had to elect a leader.
    std::size_t livenessChecks() const { return m_livenessChecks; }

private:
    struct MessageInTransit
    {
        std::size_t from;
        std::size_t to;
        proto::LedgerMessage message;
    };
    struct Command
    {
        ConfigurationProposal proposal;
        std::optional<CommandAnswer> first;
    };

    void perform(std::size_t voter, ReplicaOutput output);
    bool persist(std::size_t voter, const ReplicaOutput &output);
    void applyCommitted(std::size_t voter, const proto::LogEntry &entry);
    /// The name by which the process @p receiver knows the sender of a message.
    InstanceId senderName(std::size_t sender, std::size_t receiver, std::uint64_t identity) const;
    /// The process that @p sender means by @p name.
    std::optional<std::size_t> receiverOf(std::size_t sender, const InstanceId &name) const;
    /// What the process @p index knows of the slot of @p other; empty for a spare.
    std::optional<VoterView> viewOf(std::size_t index, const InstanceId &slot) const;
    void updateSuccessors();
    void releaseReplaced(std::size_t leader);
    std::uint64_t storedIdentity(std::size_t index) const;
    std::optional<std::size_t> idleSpare() const;
    void checkState(std::size_t voter);
    void checkAnswer(const std::string &command, const CommandAnswer &answer);
    void checkLeader(std::size_t voter);
    void checkConfirmation(std::size_t voter);
    void startClocks();
    /// The present on the voter's own clock.
    TimePoint localTime(std::size_t voter) const;
    /// Simulated time at which the voter's clock showed @p local.
    TimePoint simulatedTime(std::size_t voter, TimePoint local) const;
    /// Time that the voter's caller passes on: the present, or one that it held on to.
    TimePoint callTime(std::size_t voter);
    void makeAgeImpossible(proto::LedgerMessage &message);
    /// If a majority is connected, keeps the faults as they are for a bounded time and checks that
    /// a leader then confirms a read and accepts a change.
    void checkLiveness();
    bool connected(std::size_t first, std::size_t second) const;
    bool majorityConnected() const;
    void cutRandomLink(std::set<std::pair<std::size_t, std::size_t>> &links);
    void compactIfDue(std::size_t voter);
    void deliver(const MessageInTransit &inTransit);
    void tickAll();
    void randomCommand();
    void randomResend();
    void randomRead();
    void randomFault();
    bool canLoseFolder(std::size_t voter) const;
    bool canLoseFolderWhileSlotsMove(std::size_t voter) const;
    bool othersDetectRollback(std::size_t voter) const;
    void rollBack(std::size_t voter);
    void send(const ConfigurationProposal &proposal, std::size_t voter);
    /// Records @p what as a violation unless @p holds; the simulation continues.
    void check(bool holds, const std::string &what);
    DiskFault randomDiskFault();
    bool withProbability(double share);
    std::size_t randomVoter();

    ScheduleOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now{std::chrono::seconds(1)};
    std::vector<std::unique_ptr<TestVoter>> m_voters;
    std::vector<InstanceId> m_slots;
    std::optional<InstanceId> m_moving; ///< Slot that a spare is to take over.
    TimePoint m_movingSince{};
    std::uint64_t m_movingIdentity = 0; ///< Of the spare's folder.
    std::size_t m_moves = 0;
    std::multimap<TimePoint, MessageInTransit> m_network;
    std::map<std::size_t, bool> m_isolated;
    std::set<std::pair<std::size_t, std::size_t>> m_cutLinks;    ///< Sender and receiver.
    std::set<std::pair<std::size_t, std::size_t>> m_lastingCuts; ///< Until settle().
    std::map<std::uint64_t, std::string> m_leaders;              ///< Instance by term.
    std::map<std::uint64_t, std::string> m_committed;            ///< Entry bytes by index.
    std::map<std::uint64_t, std::string> m_states;               ///< State bytes by index.
    std::map<std::string, Command> m_commands;
    std::vector<std::string> m_commandOrder;
    std::map<std::uint64_t, std::uint64_t> m_reads; ///< Lowest revision allowed by read id.
    std::set<std::uint64_t> m_confirmed;
    std::uint64_t m_highestAccepted = 0;
    std::uint64_t m_nextRead = 1;
    std::size_t m_accepted = 0;
    std::vector<TimePoint> m_acceptedAt; ///< In the order of revisions.
    std::size_t m_livenessChecks = 0;
    std::vector<std::string> m_violations;
};

} // namespace gentianramp::testing
