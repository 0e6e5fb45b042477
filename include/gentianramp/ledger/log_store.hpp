#pragma once

#include <gentianramp/ledger/data_folder.hpp>
#include <gentianramp/ledger/stored_log.hpp>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace gentianramp {

/// The ledger's files in a data folder.
///
/// `snapshot-N` holds a snapshot and `log-G` the records after it; G grows with each snapshot and
/// each opening, and only the log with the largest G is read. A record is a frame of length, kind
/// and XXH64 checksum around a PersistRecord. A corrupt frame at the end of the log is left out,
/// because a crash during a write leaves one. A corrupt frame before an intact one and a corrupt or
/// missing snapshot are Error::StorageDamaged, every failed read, write or sync is
/// Error::StorageFailed; after both write() always fails.
class LogStore
{
public:
    explicit LogStore(DataFolder folder);

    /// Prepares an empty folder for a voter that may take part in founding the ledger.
    std::error_code initialise(std::uint64_t seed);
    /// Reads the folder, increments its boot counter and continues in a new log file, so that
    /// nothing is acknowledged on what was read before it is durable. An empty folder gets a new
    /// identity from @p seed, which must differ between all folders.
    Result<StoredLog> open(std::uint64_t seed);
    /// Writes and syncs @p snapshot, if there is one, and then @p record.
    std::error_code write(const std::optional<proto::LedgerSnapshot> &snapshot,
                          const proto::PersistRecord &record);
    /// Writes @p records as one, with a single sync.
    std::error_code write(const std::vector<proto::PersistRecord> &records);
    /// Size of the current log file in bytes.
    std::uint64_t logBytes() const { return m_logBytes; }
    bool failed() const { return m_failed; }

private:
    Result<StoredLog> load();
    Result<proto::LedgerSnapshot> loadSnapshot(std::uint64_t index);
    Result<std::uint64_t> replay(const std::string &bytes, StoredLog &log);
    std::error_code startLog(const proto::PersistRecord &record);
    std::error_code removeOld(std::uint64_t snapshotIndex);
    std::error_code fail(std::error_code error);
    std::error_code failOpening(std::error_code error);

    DataFolder m_folder;
    std::uint64_t m_generation = 0;
    std::uint64_t m_logBytes = 0;
    bool m_failed = false;
};

} // namespace gentianramp
