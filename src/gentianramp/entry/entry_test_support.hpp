#pragma once

#include "worker_threads.hpp"

#include <gentianramp/entry/entry_service.hpp>
#include <gentianramp/fakes/fake_backend.hpp>
#include <gentianramp/http/client.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace gentianramp {

/// Options of the engines of an EntryFixture and of their service.
struct EngineServiceOptions
{
    bool idempotent = true;
    double streamTokensPerSecond = 100;
};

/// One entry instance without peers and its fake backend servers, all in this process.
class EntryFixture
{
public:
    /// Starts @p engines engines of one model and @p services plain services.
    EntryFixture(unsigned engines, unsigned services, EngineServiceOptions options = {});
    ~EntryFixture();
    EntryFixture(const EntryFixture &) = delete;
    EntryFixture &operator=(const EntryFixture &) = delete;

    /// Calls the entry instance as its customer.
    Result<HttpResponse> call(const std::string &target, const std::string &body,
                              HttpHeaders headers = {});
    /// Requests a stream of @p tokens tokens.
    Result<HttpResponse> stream(unsigned tokens, HttpHeaders headers = {});
    /// Calls a backend server directly; engines have the first indices, then services.
    nlohmann::json callBackend(std::size_t backend, const std::string &target,
                               const nlohmann::json &body = nullptr);
    /// Injects a fault at a backend server for @p count requests.
    void fault(std::size_t backend, const std::string &kind, unsigned count);
    /// Number of runs recorded by all backend servers.
    std::size_t runs();

    EntryService &service() { return *m_service; }
    /// Destroys the entry instance; its callers and backend servers stay.
    void destroyService() { m_service.reset(); }

private:
    Result<HttpResponse> send(std::uint16_t port, HttpRequest request);
    void addBackend(FakeBackendOptions options, const std::string &service);

    WorkerThread m_thread;
    HttpClient m_client;
    std::vector<std::unique_ptr<FakeBackend>> m_backends;
    std::vector<std::uint16_t> m_ports;
    DeclaredConfiguration m_configuration;
    std::unique_ptr<EntryService> m_service;
    std::uint16_t m_port = 0;
};

/// Text of a complete stream of @p tokens tokens for @p request, without the first @p skipped.
std::string expectedStream(const std::string &request, unsigned tokens, unsigned skipped = 0);
/// Concatenated token texts of an SSE answer; ends with "[DONE]" when it is complete.
std::string streamText(const std::string &body);

} // namespace gentianramp
