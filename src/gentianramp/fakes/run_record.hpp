#pragma once

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <gentianramp/core/ids.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace gentianramp {

/// One execution that a backend server began.
struct RunEntry
{
    RequestId request;
    Attempt attempt{1};
    IdempotencyKey key;         ///< Empty when the caller gave none.
    std::int64_t startedMs = 0; ///< Wall clock.
    bool operator==(const RunEntry &) const = default;
};

/// Counts what a fake backend server really ran; checks compare it with what callers were told.
class RunRecord
{
public:
    /// Appends every line also to @p file, so that the record outlives a crash; empty: no file.
    explicit RunRecord(const std::filesystem::path &file);

    /// Notes an execution and returns how often its key (or request id) has run by now.
    std::uint32_t add(RunEntry entry);
    /// Notes work that arrived although the backend server is leaving.
    void addLateArrival(const RunEntry &entry);
    /// The list for GET /engine/runs.
    nlohmann::json toJson() const;

private:
    void append(const char *event, const RunEntry &entry);

    std::ofstream m_file;
    std::vector<RunEntry> m_entries;
    std::unordered_map<std::string, std::uint32_t> m_runs;
};

} // namespace gentianramp
