#pragma once

#include <deque>
#include <functional>
#include <gentianramp/control/ledger_driver.hpp>
#include <gentianramp/registry/usage_reporter.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace gentianramp {

/// A declaration as operators sent it.
struct RawDeclaration
{
    std::uint64_t number = 0; ///< 0: nothing was declared.
    std::string content;
    bool operator==(const RawDeclaration &) const = default;
};

/// Callbacks of a DeclarationLedger.
struct DeclarationHooks
{
    std::function<void(const InstanceId &toSeat, std::string payload)> send;
    /// A declaration with a higher number came into force.
    std::function<void(const RawDeclaration &)> inForce;
    std::function<void(bool leads, Term term)> leadership;
    std::function<void(const std::string &reason)> storageFailed;
    PersistHook persist; ///< See LedgerHooks.
};

/// Called with true once the declaration, or one with at least its number, is committed; with false
/// if this replica does not know the outcome, for example because it stopped leading.
using DeclareHook = std::function<void(bool)>;

/// Numbered declarations on the replicated ledger, and beside them what is decided of usage. The
/// highest number wins; the first content that is committed under a number is never replaced.
class DeclarationLedger
{
public:
    DeclarationLedger(ReplicaOptions options, DataFolder dataFolder, DeclarationHooks hooks);

    /// Restores the state from the data folder.
    Result<bool> start(TimePoint now);
    void onMessage(const InstanceId &fromSeat, std::string_view payload, TimePoint now);
    void tick(TimePoint now);
    /// Proposes @p declaration if this replica leads. If a declaration with at least its number is
    /// already committed here, calls @p done with true at once; otherwise a replica that does not
    /// lead calls @p done with false, and so does each for a number that no declaration has.
    void declare(RawDeclaration declaration, DeclareHook done, TimePoint now);
    /// Proposes what is to be kept of usage if this replica leads. Calls @p done with true once a
    /// record with at least its decided window is committed.
    void recordUsage(UsageRecord record, DeclareHook done, TimePoint now);
    /// Calls @p done with the newest declaration once a majority has confirmed that this replica
    /// leads, or with no value if it does not lead.
    void readNewest(std::function<void(std::optional<RawDeclaration>)> done, TimePoint now);
    void transferLeadership(TimePoint now) { m_driver.transferLeadership(now); }
    /// See Replica::setSuccessors().
    void setSuccessors(const std::set<InstanceId> &slots) { m_driver.setSuccessors(slots); }

    /// The newest declaration that this replica knows to be committed.
    const RawDeclaration &committed() const { return m_committed; }
    /// Committed record of usage; empty if there is none, or if an older build, which knows of
    /// none, committed the newest declaration.
    const std::optional<UsageRecord> &committedUsage() const { return m_committedUsage; }
    bool leads() const { return m_driver.leads(); }
    /// Time at which a majority confirmed that committed() was the newest; empty: never.
    std::optional<TimePoint> confirmedAt() const { return m_driver.confirmedAt(); }
    /// See LedgerDriver::refusedConfirmations().
    std::uint64_t refusedConfirmations() const { return m_driver.refusedConfirmations(); }
    /// A write is in progress; the data folder must not be used otherwise.
    bool writing() const { return m_driver.writing(); }
    const Replica &replica() const { return m_driver.replica(); }
    /// Size of the replicated state and of its log in bytes.
    std::uint64_t storedBytes() const;

private:
    /// A change that is proposed on top of what is committed.
    struct Pending
    {
        std::optional<RawDeclaration> declaration;
        std::optional<UsageRecord> usage;
        DeclareHook done;
    };

    bool isSettled(const Pending &change) const;

    PersistHook makePersistHook();
    void proposeNext(TimePoint now);
    void onDecided(const CommandId &command, const CommandAnswer &answer);
    void onLeadership(bool leads, Term term);
    void completePending();

    DeclarationHooks m_hooks;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    RawDeclaration m_committed;
    std::optional<UsageRecord> m_committedUsage;
    std::deque<Pending> m_pending;
    std::optional<CommandId> m_proposed; ///< Command for the first pending declaration.
    std::uint64_t m_proposalCount = 0;
    std::uint64_t m_incarnation; ///< Keeps command ids unique across restarts.
    LedgerDriver m_driver;
};

} // namespace gentianramp
