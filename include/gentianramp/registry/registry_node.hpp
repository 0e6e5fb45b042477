#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <filesystem>
#include <functional>
#include <gentianramp/core/error.hpp>
#include <gentianramp/core/metrics.hpp>
#include <gentianramp/registry/backend_listing.hpp>
#include <gentianramp/registry/declaration_ledger.hpp>
#include <gentianramp/registry/duty_runner.hpp>
#include <gentianramp/registry/fleet_sizer.hpp>
#include <gentianramp/registry/listing_reader.hpp>
#include <gentianramp/registry/stage_controller.hpp>
#include <gentianramp/registry/usage_reporter.hpp>
#include <memory>
#include <optional>

namespace gentianramp {

/// Asked directly before the first byte of a call is sent; when it returns false, nothing is sent.
using MayStartHook = std::function<bool()>;

/// Orders an engine to change its stage. The second argument is the fencing number, which increases
/// with each new leader.
using StageOrderHook
    = std::function<boost::asio::awaitable<bool>(StageOrder, std::uint64_t, MayStartHook)>;

/// Requests the load of an engine; returns no value if the engine does not answer.
using EngineLoadHook
    = std::function<boost::asio::awaitable<std::optional<ReportedLoad>>(ListedServer)>;

/// Makes a call to the platform that one process at a time may make. The second argument is the
/// fencing token. Must end, and reset its connection, well before a successor makes calls.
using DutyHook
    = std::function<boost::asio::awaitable<DutyAnswer>(DutyCall, std::uint64_t, MayStartHook)>;

/// Options of a RegistryNode.
struct RegistryOptions
{
    InstanceId self; ///< Mesh address, such as "10.0.0.1:7380"; identifies the process.
    /// Address to listen on if other processes reach `self` through a forwarder.
    std::optional<InstanceId> listenAddress;
    DataCentreId dataCentre;
    std::filesystem::path dataFolder;
    std::vector<InstanceId> seeds; ///< Registry processes listed by the platform.
    /// The system starts for the first time: the seeds initialise the ledger.
    bool firstStart = false;
    unsigned seats = 3; ///< Number of voters of the ledger; odd.
    std::uint64_t seed = 1;
    ListingSource listing;
    /// Rate limit of the platform's list, shared by all processes.
    double listCallsPerSecond = 40;
    EngineLoadHook engineLoad; ///< Empty: loads are not polled.
    StageOrderHook orderStage; ///< Empty: engines keep their stages.
    DutyHook callDuty;         ///< Empty: no duties.
    /// Rate limit of the platform's interface for duties, shared by all processes.
    double dutyCallsPerSecond = 50;
    std::optional<UsageReporterOptions> usage; ///< Empty: usage is not reported.
    /// Body of the report of a usage window.
    std::function<std::string(std::uint64_t window, const UsageCounts &)> encodeUsage;
    /// Body of an order of servers; empty: none are ordered.
    std::function<std::string(const ServerOrder &)> encodeOrder;
    /// Parses a declaration in the form in which it is stored; needed to order servers, and to
    /// refuse invalid ones that other processes forward.
    std::function<Result<Declaration>(const RawDeclaration &)> parseDeclaration;
    /// Minimum time between the last order of a leader and the first order of its successor.
    Duration successorOrderDelay = std::chrono::seconds(3);
    MetricsRegistry *metrics = nullptr;
};

/// A registry process: a voter of the ledger of declarations, or a spare without a seat. Reads the
/// platform's list and provides list and declarations to entry processes. All calls have to be made
/// on one executor.
class RegistryNode
{
public:
    RegistryNode(boost::asio::any_io_executor executor, RegistryOptions options);
    ~RegistryNode();
    RegistryNode(const RegistryNode &) = delete;
    RegistryNode &operator=(const RegistryNode &) = delete;

    void start();
    void setSeeds(std::vector<InstanceId> seeds);
    /// Commits the declaration unless one with at least its number is committed; false if neither
    /// is certain after a bounded time.
    boost::asio::awaitable<bool> declare(RawDeclaration declaration);
    /// The newest declaration, with number 0 if there is none; empty if that is uncertain.
    boost::asio::awaitable<std::optional<RawDeclaration>> readNewest();
    /// Transfers leadership if this process leads; calls @p done shortly afterwards.
    void shutdown(std::function<void()> done);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianramp
