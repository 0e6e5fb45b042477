#pragma once

#include <deque>
#include <functional>
#include <gentianramp/control/ledger_driver.hpp>
#include <memory>
#include <optional>
#include <string>

namespace gentianramp {

/// A declaration as operators sent it.
struct StoredContent
{
    std::uint64_t number = 0; ///< 0: nothing was declared.
    std::string content;
    bool operator==(const StoredContent &) const = default;
};

/// What a DeclarationLedger tells its surroundings.
struct DeclarationHooks
{
    std::function<void(const InstanceId &toSeat, std::string payload)> send;
    /// A higher number is in force.
    std::function<void(const StoredContent &)> inForce;
    std::function<void(bool leads, Term term)> leadership;
    std::function<void(const std::string &reason)> storageFailed;
};

/// Called with true once the declaration, or one with a number as high, is in force for good; with
/// false when this replica can't tell, for example because it stopped leading.
using DeclareHook = std::function<void(bool)>;

/// Numbered declarations on the replicated ledger: the highest number wins, and the first content
/// under a number is the only one that it ever has.
class DeclarationLedger
{
public:
    DeclarationLedger(ReplicaOptions options, DataFolder disk, DeclarationHooks hooks);

    /// Reads the data folder.
    Result<bool> start(TimePoint now);
    void onMessage(const InstanceId &fromSeat, std::string_view payload, TimePoint now);
    void tick(TimePoint now);
    /// On the leader; elsewhere @p done is called with false unless the number is held.
    void declare(StoredContent declaration, DeclareHook done, TimePoint now);
    /// Calls @p done with the newest declaration once a majority confirmed that this replica
    /// leads, with nothing when it does not.
    void readNewest(std::function<void(std::optional<StoredContent>)> done, TimePoint now);
    void handOver(TimePoint now) { m_driver.handOver(now); }

    const StoredContent &held() const { return m_held; }
    bool leads() const { return m_driver.leads(); }
    const Replica &replica() const { return m_driver.replica(); }
    /// Bytes of the replicated state and of the log behind it.
    std::uint64_t storedBytes() const;

private:
    struct Pending
    {
        StoredContent declaration;
        DeclareHook done;
    };

    void proposeNext(TimePoint now);
    void onDecided(const CommandId &command, const CommandAnswer &answer);
    void onLeadership(bool leads, Term term);
    void settleHeld();

    DeclarationHooks m_hooks;
    StoredContent m_held;
    std::deque<Pending> m_pending;
    std::optional<CommandId> m_proposed; ///< Command of the first pending declaration.
    std::uint64_t m_proposals = 0;
    std::uint64_t m_life; ///< Makes commands of different lives differ.
    LedgerDriver m_driver;
};

} // namespace gentianramp
