#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/idempotency/claim.hpp>
#include <gentianramp/membership/placement.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// Options of a KeyService.
struct KeyServiceOptions
{
    InstanceId self;
    Incarnation incarnation;               ///< Larger than all earlier ones of the instance.
    std::vector<PlacedInstance> instances; ///< All entry instances, including this one.
    /// Instances before the last change. Until keys claimed under this list have expired, a claim
    /// needs a majority of the key's group under each of both lists.
    std::vector<PlacedInstance> previousInstances;
    std::vector<DataCentreId> sites;              ///< Data centres that own keys.
    Duration lifetime = std::chrono::minutes(10); ///< From a key's first claim to its last repeat.
    Duration longestWait = std::chrono::seconds(60); ///< Largest time from a claim to its deadline.
    /// From the start of the round that grants a claim to the first byte of the request.
    Duration dispatchWindow = std::chrono::seconds(5);
    /// For one round: the prepare exchange and the accept exchange.
    Duration roundTimeout = std::chrono::milliseconds(150);
    Duration pollInterval = std::chrono::milliseconds(200); ///< While another claim holds the key.
    /// A claim ends as Unavailable when no quorum has answered for this long.
    Duration unavailableAfter = std::chrono::seconds(2);
    Duration settleTimeout = std::chrono::seconds(60); ///< For recording an outcome, with retries.
    std::size_t maxKeys = 200'000;                     ///< Keys kept by this replica.
    std::size_t maxAnswerBytes = 64 * 1024;            ///< Largest answer kept for repeats.
    std::size_t maxStoredBytes = 64 * 1024 * 1024;     ///< All answers kept by this replica.
    std::int64_t startWallMs = 0;                      ///< Wall clock at the start of the process.
    /// Largest difference between the wall clocks of callers and instances.
    Duration clockSkew = std::chrono::seconds(5);
    /// The operator states that no key was ever claimed, as at the first start of a deployment.
    /// Otherwise a replica has to learn from the others after a start before it answers proposals.
    bool noPriorClaims = false;
    std::uint64_t seed = 1; ///< For the jitter of retries.
};

/// Sends @p payload over the mesh as PayloadKind::KeyClaim; must not call the service.
using KeySendHook = std::function<void(const InstanceId &to, std::string payload)>;

/// Receives the result of a claim, perhaps before claim() returns; must not call the service.
using ClaimCallback = std::function<void(ClaimResult)>;

/// Time to live that messages of the service should be sent with.
constexpr Duration KeyMessageTtl = std::chrono::seconds(2);

/// Counters of a KeyService.
struct KeyServiceStatistics
{
    std::size_t keys = 0;        ///< Keys that this replica keeps.
    std::size_t storedBytes = 0; ///< Bytes of answers that this replica keeps.
    std::size_t openClaims = 0;
    std::size_t openSettlements = 0;
    std::uint64_t droppedAnswers = 0;  ///< Answers not kept because of maxStoredBytes.
    std::uint64_t malformed = 0;       ///< Messages that could not be decoded.
    std::uint64_t overloadedKeys = 0;  ///< Keys refused because the replica was full.
    std::uint64_t lostSettlements = 0; ///< Outcomes that never reached a majority.
    bool learning = false; ///< This replica has not yet learned from all other instances.
};

/// Ensures at most one dispatch for each idempotency key across all instances.
///
/// Each entry instance has one service. The service holds this instance's replica of the keys and
/// runs the claims of the requests that this instance received. Not thread-safe; the owner calls
/// the service under one strand or mutex.
class KeyService
{
public:
    KeyService(KeyServiceOptions options, KeySendHook send, TimePoint now);
    ~KeyService();
    KeyService(const KeyService &) = delete;
    KeyService &operator=(const KeyService &) = delete;

    /// Handles a message from the service of another instance.
    void onMessage(const InstanceId &sender, std::string_view payload, TimePoint now);
    /// Call every 20 ms or so; drives timeouts, polls and the expiry of old keys.
    void tick(TimePoint now);
    /// Starts a claim; @p callback is called exactly once, at the deadline at the latest.
    void claim(ClaimRequest request, TimePoint now, ClaimCallback callback);
    /// Records at the replicas how a granted attempt ended. Call exactly once for each ticket.
    void settle(const ClaimTicket &ticket, ClaimOutcome outcome, TimePoint now);
    /// Replaces the instances; the previous list stays in use until its keys have expired.
    void setInstances(std::vector<PlacedInstance> instances, TimePoint now);

    KeyServiceStatistics statistics(TimePoint now) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianramp
