#pragma once

#include "memory_disk.hpp"

#include <gentianramp/ledger/configuration_store.hpp>
#include <gentianramp/ledger/log_store.hpp>
#include <gentianramp/ledger/replica.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gentianramp::testing {

/// What random schedules may do besides delaying messages.
struct ScheduleOptions
{
    std::size_t voters = 3;
    std::uint64_t seed = 1;
    double dropShare = 0.05;
    double duplicateShare = 0.05;
    bool crashes = true;
    bool pauses = true;
    bool partitions = true;
    bool lostDisks = false;
    bool staleDisks = false;
    bool diskFaults = true;
    int steps = 4000;
};

/// A message that arrived while its receiver was paused.
struct HeldMessage
{
    TimePoint arrived;
    InstanceId from;
    proto::LedgerMessage message;
};

/// One voter with its disk; the process on it may be down.
struct TestVoter
{
    InstanceId instance;
    MemoryDisk disk;
    std::unique_ptr<LogStore> store;
    std::unique_ptr<Replica> replica;
    ConfigurationStore configuration;
    std::uint64_t applied = 0;
    bool paused = false;
    std::vector<HeldMessage> held;
    std::uint64_t waitingRead = 0;
    Revision inForce;
    std::uint64_t identityInForce = 0; ///< Folder that `inForce` was read from.
    MemoryFiles oldCopy;
    std::uint64_t rolledBackIdentity = 0; ///< Never counts again; 0 when there is none.
};

/// Voters in memory with a network that a seed makes unreliable; checks the promises of the ledger
/// at each step and collects what is broken.
class LedgerRun
{
public:
    explicit LedgerRun(ScheduleOptions options);

    /// Founds the ledger on all voters.
    void found();
    /// Random faults and commands.
    void runSchedule();
    /// Ends all faults and lets the ledger settle, then checks that it works.
    void settle();

    void start(std::size_t voter);
    void crash(std::size_t voter);
    void loseDisk(std::size_t voter);
    /// Restarts the voter on the copy of its folder in `oldCopy`.
    void restoreCopy(std::size_t voter);
    void handOver(std::size_t voter);
    /// Asks the voter for a read and waits; false when it is not confirmed.
    bool confirmsRead(std::size_t voter);
    /// Lets time pass without new faults.
    void run(Duration time);
    void cut(std::size_t voter, bool isCut) { m_cut[voter] = isCut; }
    /// Index of the running leader of the highest term.
    std::optional<std::size_t> leader() const;
    /// Proposes on the leader's current revision; returns the command id.
    std::string propose(const std::string &configuration);
    bool accepted(const std::string &command) const;
    TestVoter &voter(std::size_t index) { return *m_voters[index]; }
    const std::vector<std::string> &broken() const { return m_broken; }
    std::size_t acceptedCount() const { return m_accepted; }

private:
    struct Flight
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
    void noteState(std::size_t voter);
    void noteAnswer(const std::string &command, const CommandAnswer &answer);
    void noteLeader(std::size_t voter);
    void compactSometimes(std::size_t voter);
    void deliver(const Flight &flight);
    void tickAll();
    void randomCommand();
    void randomResend();
    void randomRead();
    void randomFault();
    bool mayLoseFolder(std::size_t voter) const;
    bool othersRemember(std::size_t voter) const;
    void rollBack(std::size_t voter);
    void send(const ConfigurationProposal &proposal, std::size_t voter);
    void require(bool holds, const std::string &what);
    bool chance(double share);
    std::size_t anyVoter();

    ScheduleOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now{std::chrono::seconds(1)};
    std::vector<std::unique_ptr<TestVoter>> m_voters;
    std::multimap<TimePoint, Flight> m_network;
    std::map<std::size_t, bool> m_cut;
    std::map<std::uint64_t, std::string> m_leaders;   ///< By term.
    std::map<std::uint64_t, std::string> m_committed; ///< Entry bytes by index.
    std::map<std::uint64_t, std::string> m_states;    ///< State bytes by index.
    std::map<std::string, Command> m_commands;
    std::vector<std::string> m_commandOrder;
    std::map<std::uint64_t, std::uint64_t> m_reads; ///< Least revision that a read may show.
    std::set<std::uint64_t> m_confirmed;
    std::uint64_t m_highestAccepted = 0;
    std::uint64_t m_nextRead = 1;
    std::size_t m_accepted = 0;
    std::vector<std::string> m_broken;
};

} // namespace gentianramp::testing
