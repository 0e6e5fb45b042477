#pragma once

#include <cstdint>
#include <deque>
#include <gentianramp/ledger/stored_log.hpp>
#include <map>
#include <optional>
#include <string>

namespace gentianramp {

/// Identity of the admitted data folder for each voter's name; empty slots are absent.
using IdentityMap = std::map<std::string, std::uint64_t>;

/// Data folders that fill the slots.
struct SlotFolders
{
    IdentityMap identities;
    /// Identity of the folder that is to replace the one of a slot. Until that has ended,
    /// majorities have to hold both with the former folder and with this one.
    IdentityMap successors;
    bool operator==(const SlotFolders &) const = default;
};

/// Snapshot and entries of a replica in memory, with the admitted identities that they define.
class ReplicatedLog
{
public:
    explicit ReplicatedLog(StoredLog stored);

    std::uint64_t lastIndex() const;
    std::uint64_t lastTerm() const;
    /// Term of the entry at @p index; empty when it was discarded or not appended yet.
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;
    const proto::LogEntry &at(std::uint64_t index) const;
    /// Index before the first entry in memory; entries after it can be sent.
    std::uint64_t baseIndex() const { return m_baseIndex; }
    const proto::LedgerSnapshot &snapshot() const { return m_snapshot; }
    /// Size of the commands in memory.
    std::uint64_t bytes() const;

    void append(const proto::LogEntry &entry);
    /// Removes the entry at @p index and all later ones.
    void truncateFrom(std::uint64_t index);
    /// Replaces the entries up to @p snapshot. Later entries are kept if the log has the snapshot's
    /// last entry with the same term, otherwise all are removed.
    void install(proto::LedgerSnapshot snapshot);
    /// Snapshot at @p index with @p state; keeps @p retained entries before it in memory.
    void compact(std::uint64_t index, std::string state, std::size_t retained);

    /// Identities with all entries applied, including uncommitted ones.
    const IdentityMap &identities() const { return m_folders.identities; }
    const IdentityMap &successors() const { return m_folders.successors; }
    /// Index of the last entry that changed identities or successors.
    std::uint64_t identitiesIndex() const { return m_identitiesIndex; }
    std::vector<proto::LogEntry> entriesAfterSnapshot() const;

private:
    void reloadIdentities();
    void applyIdentities(const proto::LogEntry &entry);

    proto::LedgerSnapshot m_snapshot;
    std::uint64_t m_baseIndex = 0;
    std::uint64_t m_baseTerm = 0;
    std::deque<proto::LogEntry> m_entries;
    SlotFolders m_folders;
    std::uint64_t m_identitiesIndex = 0;
};

} // namespace gentianramp
