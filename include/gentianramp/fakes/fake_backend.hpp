#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <filesystem>
#include <gentianramp/core/error.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/engine/engine_model.hpp>
#include <memory>
#include <string>

namespace gentianramp {

/// Options of a FakeBackend.
struct FakeBackendOptions
{
    BackendId id;
    ServiceKind kind = ServiceKind::Model;
    std::string host = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 takes a free one.
    std::string model;      ///< Loaded at start.
    std::string version = "1";
    bool checksFencing = false;
    EngineModelOptions engine;
    Duration loadTime = std::chrono::seconds(2);          ///< To load a model, version or adapter.
    Duration serviceTime = std::chrono::milliseconds(20); ///< Of a plain call.
    std::filesystem::path recordFile; ///< Keeps what was run over a crash; empty: none.
    std::uint32_t plainSlots = 32;    ///< Plain calls worked on at once.
};

/// Backend server for tests and measures: speaks docs/ENGINE-PROTOCOL.md over HTTP.
///
/// Works on the given executor, which must run one handler at a time.
class FakeBackend
{
public:
    FakeBackend(boost::asio::any_io_executor executor, FakeBackendOptions options);
    ~FakeBackend();
    FakeBackend(const FakeBackend &) = delete;
    FakeBackend &operator=(const FakeBackend &) = delete;

    /// Starts serving; returns the port.
    Result<std::uint16_t> start();
    /// Closes all connections.
    void stop();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianramp
