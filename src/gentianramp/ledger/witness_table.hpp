#pragma once

#include "replicated_log.hpp"

#include <map>

namespace gentianramp {

/// One incarnation of a voter's process on a data folder, with its term.
struct VoterIncarnation
{
    std::uint64_t identity = 0;
    std::uint64_t boot = 0;    ///< Boot counter of the data folder.
    std::uint64_t session = 0; ///< Random; tells incarnations with equal boot counters apart.
    std::uint64_t term = 0;
    auto operator<=>(const VoterIncarnation &) const = default;
};

/// Term and last log index of a data folder when an incarnation of its process began.
struct StartState
{
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0;
    auto operator<=>(const StartState &) const = default;
};

/// True when @p witness shows that the folder of @p own held a later state than @p start before.
bool provesRollback(const proto::Witness &witness, const VoterIncarnation &own,
                    const StartState &start);

/// Records the latest state (term, log and commit index) that each admitted data folder has shown,
/// to detect folders that were rolled back to an earlier state.
class WitnessTable
{
public:
    /// Records a message from @p incarnation of @p instance.
    void recordIncarnation(const std::string &instance, const VoterIncarnation &incarnation);
    /// Records that the log of @p incarnation agrees with the leader of @p term up to @p index.
    void recordAcknowledgement(const std::string &instance, const VoterIncarnation &incarnation,
                               std::uint64_t term, std::uint64_t index, std::uint64_t committed);
    /// Merges the record of another voter; true when it changed this table.
    bool merge(const proto::Witness &witness);
    /// Removes the records of folders that are no longer admitted.
    void retain(const IdentityMap &admitted);
    /// True when the term of @p incarnation or its @p lastIndex is older than the recorded state of
    /// the folder of @p instance, which proves a rollback.
    bool showsRollback(const std::string &instance, const VoterIncarnation &incarnation,
                       std::uint64_t lastIndex) const;
    std::vector<proto::Witness> all() const;

private:
    std::map<std::string, proto::Witness> m_witnesses;
};

} // namespace gentianramp
