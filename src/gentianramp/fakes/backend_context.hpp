#pragma once

#include "engine_host.hpp"
#include "fault_switch.hpp"
#include "order_book.hpp"
#include "run_record.hpp"

#include <gentianramp/fakes/fake_backend.hpp>
#include <gentianramp/http/message.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace gentianramp {

/// What the parts of a fake backend server share; used on its executor only.
struct BackendContext
{
    BackendContext(boost::asio::any_io_executor executor, FakeBackendOptions options);

    /// Refusal when no new work is taken, before anything has run.
    std::optional<HttpResponse> refusal(const HttpRequest &request);

    const boost::asio::any_io_executor executor;
    const FakeBackendOptions options;
    std::shared_ptr<EngineHost> host;
    RunRecord runs;
    FaultSwitch faults;
    std::map<std::string, std::string> versions; ///< Loaded models.
    std::set<std::string> adapters;
    std::set<std::string> importedKv;
    std::uint64_t blackholeRound = 0; ///< Streams begun in an earlier round stay silent.
    std::uint32_t plainRunning = 0;
    bool loading = false;
};

HttpResponse jsonResponse(unsigned status, const nlohmann::json &body);
/// A refusal with the verdict NotRun.
HttpResponse notRun(unsigned status, const std::string &message);
/// The execution that @p request asks for.
RunEntry runEntry(const HttpRequest &request);
/// Waits as long as a hung backend server would.
boost::asio::awaitable<void> hang();

} // namespace gentianramp
