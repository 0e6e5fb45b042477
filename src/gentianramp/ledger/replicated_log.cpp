#include "replicated_log.hpp"

#include <gentianramp/core/invariant.hpp>
#include <numeric>

namespace gentianramp {

namespace {

SlotFolders foldersOf(const proto::LedgerSnapshot &snapshot)
{
    SlotFolders folders;
    for (const auto &slot : snapshot.identities())
        folders.identities[slot.instance()] = slot.identity();
    for (const auto &slot : snapshot.successors())
        folders.successors[slot.instance()] = slot.identity();
    return folders;
}

SlotFolders applyChange(SlotFolders folders, const proto::LogEntry &entry)
{
    for (const auto &slot : entry.identities()) {
        switch (entry.kind()) {
        case proto::ENTRY_FOUND:
        case proto::ENTRY_ADMIT:
            folders.identities[slot.instance()] = slot.identity();
            folders.successors.erase(slot.instance());
            break;
        case proto::ENTRY_RETIRE:
            folders.identities.erase(slot.instance());
            break;
        case proto::ENTRY_REPLACE:
            folders.successors[slot.instance()] = slot.identity();
            break;
        default:
            break;
        }
    }
    return folders;
}

} // namespace

ReplicatedLog::ReplicatedLog(StoredLog stored)
    : m_snapshot(std::move(stored.snapshot))
    , m_baseIndex(m_snapshot.index())
    , m_baseTerm(m_snapshot.term())
    , m_entries(stored.entries.begin(), stored.entries.end())
{
    reloadIdentities();
}

std::uint64_t ReplicatedLog::lastIndex() const
{
    return m_baseIndex + m_entries.size();
}

std::uint64_t ReplicatedLog::lastTerm() const
{
    return m_entries.empty() ? m_baseTerm : m_entries.back().term();
}

std::optional<std::uint64_t> ReplicatedLog::termAt(std::uint64_t index) const
{
    if (index == m_baseIndex)
        return m_baseTerm;
    if (index < m_baseIndex || index > lastIndex())
        return std::nullopt;
    return at(index).term();
}

const proto::LogEntry &ReplicatedLog::at(std::uint64_t index) const
{
    return m_entries[index - m_baseIndex - 1];
}

void ReplicatedLog::append(const proto::LogEntry &entry)
{
    checkInvariant(entry.index() == lastIndex() + 1, "ledger.log_contiguous");
    m_entries.push_back(entry);
    applyIdentities(entry);
}

void ReplicatedLog::truncateFrom(std::uint64_t index)
{
    while (lastIndex() >= index && !m_entries.empty())
        m_entries.pop_back();
    if (m_identitiesIndex >= index)
        reloadIdentities();
}

void ReplicatedLog::install(proto::LedgerSnapshot snapshot)
{
    if (termAt(snapshot.index()) == snapshot.term()) {
        while (m_baseIndex < snapshot.index()) {
            m_entries.pop_front();
            ++m_baseIndex;
        }
    } else {
        m_entries.clear();
        m_baseIndex = snapshot.index();
    }
    m_baseTerm = snapshot.term();
    m_snapshot = std::move(snapshot);
    reloadIdentities();
}

void ReplicatedLog::compact(std::uint64_t index, std::string state, std::size_t retained)
{
    proto::LedgerSnapshot snapshot;
    snapshot.set_index(index);
    snapshot.set_term(termAt(index).value_or(m_snapshot.term()));
    snapshot.set_state(std::move(state));
    SlotFolders folders = foldersOf(m_snapshot);
    for (std::uint64_t i = m_snapshot.index() + 1; i <= index; ++i)
        folders = applyChange(std::move(folders), at(i));
    const auto add = [](const IdentityMap &from, auto &to) {
        for (const auto &[instance, identity] : from) {
            proto::SlotIdentity &slot = *to.Add();
            slot.set_instance(instance);
            slot.set_identity(identity);
        }
    };
    add(folders.identities, *snapshot.mutable_identities());
    add(folders.successors, *snapshot.mutable_successors());
    m_snapshot = std::move(snapshot);
    while (m_baseIndex + retained < index) {
        m_baseTerm = m_entries.front().term();
        m_entries.pop_front();
        ++m_baseIndex;
    }
}

std::uint64_t ReplicatedLog::bytes() const
{
    return std::accumulate(m_entries.begin(), m_entries.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const proto::LogEntry &entry) {
                               return sum + entry.command().size();
                           });
}

std::vector<proto::LogEntry> ReplicatedLog::entriesAfterSnapshot() const
{
    std::vector<proto::LogEntry> entries;
    for (std::uint64_t i = m_snapshot.index() + 1; i <= lastIndex(); ++i)
        entries.push_back(at(i));
    return entries;
}

void ReplicatedLog::reloadIdentities()
{
    m_folders = foldersOf(m_snapshot);
    m_identitiesIndex = m_snapshot.index();
    for (std::uint64_t i = m_snapshot.index() + 1; i <= lastIndex(); ++i)
        applyIdentities(at(i));
}

void ReplicatedLog::applyIdentities(const proto::LogEntry &entry)
{
    if (entry.identities().empty())
        return;
    m_folders = applyChange(std::move(m_folders), entry);
    m_identitiesIndex = entry.index();
}

} // namespace gentianramp
