#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/routing/fleet_view.hpp>
#include <gentianramp/routing/request_attributes.hpp>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "gentianramp/routing/backend_load.hpp"
#include "gentianramp/routing/output_estimate.hpp"

namespace gentianramp {

/// A backend server of a service and its outstanding work.
struct Candidate
{
    BackendView view;
    std::shared_ptr<BackendLoad> load;
    bool local = true; ///< In the data centre of this instance.
};

/// Random numbers for one choice, from a counter-based generator without locks.
class ChoiceRandom
{
public:
    explicit ChoiceRandom(std::uint64_t seed)
        : m_state(seed)
    { }
    std::uint64_t next() noexcept;
    /// Uniformly distributed number below @p bound.
    std::size_t below(std::size_t bound) noexcept;

private:
    std::uint64_t m_state;
};

/// Options of chooseBackends().
struct ChoiceOptions
{
    std::uint32_t choices = 2; ///< Candidates compared besides cache holders.
    double reservedShare = 0;  ///< Share of the slots kept free for more urgent classes.
    double otherInstances
        = 0; ///< Number of entry instances besides this one, which use the same reports.
};

/// A request, its expected output and the servers that cache its prefixes.
struct ChoiceRequest
{
    const RequestAttributes &attributes;
    OutputLength output;
    std::span<const CacheHolder> holders;
};

enum class ChoiceOutcome {
    Chosen,
    TooLate,     ///< No backend server is expected to finish by the deadline.
    Busy,        ///< Backend servers may take the request once their load falls.
    NoBackend,   ///< No suitable backend server is in service.
    UnknownModel ///< No backend server has the model, version or adapter.
};

/// Chosen backend servers, as indices into the candidates.
struct Choice
{
    ChoiceOutcome outcome = ChoiceOutcome::NoBackend;
    std::size_t backend = 0;
    std::optional<std::size_t> prefillBackend;
    std::uint32_t cachedTokens = 0;
    Duration timeToFirstToken{};
    Duration timeToFinish{};
};

/// Picks the backend server, or the pair for prefill and decode, where the answer is expected
/// soonest at the least cost to other work.
Choice chooseBackends(std::span<const Candidate> candidates, const ChoiceRequest &request,
                      const ChoiceOptions &options, TimePoint now, ChoiceRandom &random);

/// Shortest time to the complete answer if the backend servers were idle; zero when none serves.
Duration idleTimeToFinish(std::span<const Candidate> candidates, const ChoiceRequest &request);

/// Engine time that a request takes, in seconds, on a backend server like @p view.
double engineSeconds(const BackendView &view, double promptTokens, double outputTokens);

} // namespace gentianramp
