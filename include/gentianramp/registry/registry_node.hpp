#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <filesystem>
#include <functional>
#include <gentianramp/core/error.hpp>
#include <gentianramp/core/metrics.hpp>
#include <gentianramp/registry/backend_listing.hpp>
#include <gentianramp/registry/declaration_ledger.hpp>
#include <gentianramp/registry/listing_reader.hpp>
#include <gentianramp/registry/stage_controller.hpp>
#include <memory>
#include <optional>

namespace gentianramp {

/// Orders an engine to change its stage; the numbers of holders only grow.
using StageOrderHook = std::function<boost::asio::awaitable<bool>(StageOrder, std::uint64_t)>;

/// Asks an engine for its load; nothing when it doesn't answer.
using EngineLoadHook
    = std::function<boost::asio::awaitable<std::optional<ReportedLoad>>(ListedServer)>;

/// Options of a RegistryNode.
struct RegistryOptions
{
    InstanceId self; ///< Address of the mesh, "10.0.0.1:7380"; it names the process.
    /// Address to listen on where others reach `self` through a forwarder.
    std::optional<InstanceId> listenAddress;
    DataCentreId dataCentre;
    std::filesystem::path dataFolder;
    std::vector<InstanceId> seeds; ///< Registry processes that the platform names.
    /// The whole system starts for the first time: seeds found the ledger.
    bool firstStart = false;
    unsigned seats = 3; ///< Voters of the ledger; odd.
    std::uint64_t seed = 1;
    ListingSource listing;
    /// Calls that the platform's list takes from all processes together.
    double listCallsPerSecond = 40;
    EngineLoadHook engineLoad; ///< Empty: engines are not asked.
    StageOrderHook orderStage; ///< Empty: engines keep their stages.
    /// Orders of two holders have to be that far apart.
    Duration orderLease = std::chrono::seconds(3);
    MetricsRegistry *metrics = nullptr;
};

/// A registry process: a voter of the ledger of declarations, or a spare for one; reads the
/// platform's list and feeds both to entry processes. Used on one executor.
class RegistryNode
{
public:
    RegistryNode(boost::asio::any_io_executor executor, RegistryOptions options);
    ~RegistryNode();
    RegistryNode(const RegistryNode &) = delete;
    RegistryNode &operator=(const RegistryNode &) = delete;

    void start();
    void setSeeds(std::vector<InstanceId> seeds);
    /// Puts the declaration in force unless a number as high is; false when that isn't certain
    /// after a bounded time.
    boost::asio::awaitable<bool> declare(RawDeclaration declaration);
    /// The newest declaration, number 0 when there is none; empty when that isn't certain.
    boost::asio::awaitable<std::optional<RawDeclaration>> readNewest();
    /// Hands leadership over and calls @p done shortly afterwards.
    void shutdown(std::function<void()> done);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianramp
