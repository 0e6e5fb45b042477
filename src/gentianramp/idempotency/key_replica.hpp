#pragma once

#include <cstddef>
#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/idempotency/key_groups.hpp>
#include <gentianramp/idempotency/messages.hpp>
#include <map>
#include <optional>
#include <set>

namespace gentianramp {

/// Options of a KeyReplica.
struct KeyReplicaOptions
{
    InstanceId self;
    Incarnation incarnation;
    Duration retention; ///< How long a key is kept after its last change.
    std::size_t maxKeys = 0;
    std::size_t maxStoredBytes = 0;
    std::int64_t startWallMs = 0;
    Duration clockSkew{};
    bool noPriorClaims = false;
};

/// One instance's in-memory store of claim records; an acceptor in the consensus on each key.
///
/// The records are lost at a restart. A restarted replica refuses proposals for a key until it has
/// learned from all other members of the key's groups or the retention has passed since its start.
class KeyReplica
{
public:
    /// @p groups must outlive the replica.
    KeyReplica(KeyReplicaOptions options, const KeyGroups &groups, TimePoint now);

    KeyPromise onPrepare(const KeyPrepare &prepare, TimePoint now);
    KeyAccepted onAccept(const KeyAccept &accept, TimePoint now);
    KeyLearnPage onLearnRequest(const InstanceId &sender, const KeyLearnRequest &request,
                                TimePoint now);
    /// Merges a page; returns the request for the next page unless this was the last.
    std::optional<KeyLearnRequest> onLearnPage(const InstanceId &sender, const KeyLearnPage &page,
                                               TimePoint now);

    /// Learn requests that are due, each with the instance to send it to.
    std::map<InstanceId, KeyLearnRequest> dueLearnRequests(TimePoint now);
    /// Forgets keys whose retention has passed; each call checks a bounded number of keys.
    void forgetExpired(TimePoint now);

    /// Whether this replica may answer proposals for @p scope: it is a member of the key's groups
    /// and has relearned the key's record or can't have lost one in a restart.
    bool isReady(const KeyScope &scope, TimePoint now) const;
    bool isLearning(TimePoint now) const;

    std::size_t keyCount() const { return m_entries.size(); }
    std::size_t storedBytes() const { return m_storedBytes; }
    std::uint64_t droppedAnswers() const { return m_droppedAnswers; }
    std::uint64_t overloadedKeys() const { return m_overloadedKeys; }

private:
    struct Entry
    {
        Ballot promised;
        Ballot accepted;
        std::optional<ClaimRecord> record;
        TimePoint forgetAt;
    };
    /// Progress in learning from one other instance; a pass is all pages from first to last.
    struct LearnProgress
    {
        std::optional<KeyScope> after;
        Incarnation incarnation;
        bool learned = false;
        /// Instances that the other one itself had not learned from during the last complete pass.
        std::set<InstanceId> unlearned;
        std::set<InstanceId> passUnlearned; ///< The same for the pass in progress.
        TimePoint nextRequestAt;
    };

    bool isCreatedAfterStart(const KeyScope &scope) const;
    Entry *entry(const KeyScope &scope, TimePoint now);
    bool usesStaleIncarnation(const MemberIncarnations &quorum) const;
    MemberIncarnations knownIncarnations(const KeyScope &scope) const;
    void recordIncarnation(const InstanceId &instance, Incarnation incarnation);
    void keep(Entry &entry, const Ballot &ballot, ClaimRecord record, TimePoint now);
    void merge(const KeyLearnEntry &learned, TimePoint now);
    std::set<InstanceId> unlearnedInstances(TimePoint now) const;

    KeyReplicaOptions m_options;
    const KeyGroups &m_groups;
    TimePoint m_readyAt; ///< From here on the replica is ready without learning.
    std::map<KeyScope, Entry> m_entries;
    std::map<InstanceId, LearnProgress> m_learnProgress;
    MemberIncarnations m_incarnations;
    std::optional<KeyScope> m_sweepAfter; ///< Last key that forgetExpired() checked.
    std::size_t m_storedBytes = 0;
    std::uint64_t m_droppedAnswers = 0;
    std::uint64_t m_overloadedKeys = 0;
};

} // namespace gentianramp
