#pragma once

#include "replicated_log.hpp"

#include <map>

namespace gentianramp {

/// One life of a process on a data folder.
struct Life
{
    std::uint64_t identity = 0;
    std::uint64_t boot = 0;
    std::uint64_t session = 0;
    std::uint64_t term = 0;
    auto operator<=>(const Life &) const = default;
};

/// What the own folder held when this life of the process began.
struct StartState
{
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0;
    auto operator<=>(const StartState &) const = default;
};

/// True when @p witness shows that the folder of @p own once held more than @p start.
bool provesRollback(const proto::Witness &witness, const Life &own, const StartState &start);

/// Remembers what admitted data folders have shown to know, to detect those that went back.
class WitnessTable
{
public:
    /// Notes a message of @p life from @p instance.
    void observe(const std::string &instance, const Life &life);
    /// Notes that @p life acknowledged the log up to @p index to the leader of @p term.
    void acknowledge(const std::string &instance, const Life &life, std::uint64_t term,
                     std::uint64_t index, std::uint64_t committed);
    /// Takes over what another voter remembers; true when that was news.
    bool merge(const proto::Witness &witness);
    /// Forgets folders that are not admitted any more.
    void retain(const IdentityMap &admitted);
    /// True when @p life of @p instance, whose log ends at @p lastIndex, knows too little.
    bool contradicts(const std::string &instance, const Life &life, std::uint64_t lastIndex) const;
    std::vector<proto::Witness> all() const;

private:
    std::map<std::string, proto::Witness> m_witnesses;
};

} // namespace gentianramp
