#include "replicated_log.hpp"

#include <gentianramp/core/invariant.hpp>
#include <numeric>

namespace gentianramp {

namespace {

IdentityMap identitiesOf(const proto::LedgerSnapshot &snapshot)
{
    IdentityMap identities;
    for (const auto &slot : snapshot.identities())
        identities[slot.instance()] = slot.identity();
    return identities;
}

IdentityMap applyChange(IdentityMap identities, const proto::LogEntry &entry)
{
    switch (entry.kind()) {
    case proto::ENTRY_FOUND:
    case proto::ENTRY_ADMIT:
        for (const auto &slot : entry.identities())
            identities[slot.instance()] = slot.identity();
        break;
    case proto::ENTRY_RETIRE:
        for (const auto &slot : entry.identities())
            identities.erase(slot.instance());
        break;
    default:
        break;
    }
    return identities;
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
    IdentityMap identities = identitiesOf(m_snapshot);
    for (std::uint64_t i = m_snapshot.index() + 1; i <= index; ++i)
        identities = applyChange(std::move(identities), at(i));
    for (const auto &[instance, identity] : identities) {
        auto *slot = snapshot.add_identities();
        slot->set_instance(instance);
        slot->set_identity(identity);
    }
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
    m_identities = identitiesOf(m_snapshot);
    m_identitiesIndex = m_snapshot.index();
    for (std::uint64_t i = m_snapshot.index() + 1; i <= lastIndex(); ++i)
        applyIdentities(at(i));
}

void ReplicatedLog::applyIdentities(const proto::LogEntry &entry)
{
    if (entry.identities().empty())
        return;
    m_identities = applyChange(std::move(m_identities), entry);
    m_identitiesIndex = entry.index();
}

} // namespace gentianramp
