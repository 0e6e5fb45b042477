#pragma once

#include <algorithm>
#include <cstdint>
#include <gentianramp/declaration/declaration.hpp>
#include <gentianramp/http/client.hpp>
#include <gentianramp/registry/backend_listing.hpp>
#include <gentianramp/relay/backend_protocol.hpp>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace gentianramp {

/// What placement needs to know of a request.
struct PlacementQuery
{
    std::string service;
    const PromptDescription *prompt = nullptr; ///< Null for calls without a prompt.
    bool repeatable = false;
    bool promptPrefilled = false;        ///< An engine has read the prompt already and keeps it.
    std::span<const BackendId> excluded; ///< Tried before.
};

/// A backend server that a request is sent to.
struct SendTarget
{
    BackendId backend;
    HttpAddress address;
    std::uint32_t uncachedTokens = 0; ///< Prompt tokens that it is expected to read.
    Duration expectedWait{};          ///< Until the first event, as estimated.
    double prefillMs = 0;             ///< Of it, for reading at the engine's usual speed.
    TimePoint placedAt{};
    std::uint64_t incarnation = 0; ///< Of the backend server, as the table counts lives.
    /// Engine that probably keeps shared parts which this one lacks; they are fetched from it.
    std::optional<HttpAddress> fetchFrom;
    bool operator==(const SendTarget &) const = default;
};

/// Where a request goes: at once to a backend server, or first to an engine that reads its prompt.
struct RequestPlacement
{
    SendTarget responder;                    ///< Gives the answer.
    std::optional<SendTarget> prefillEngine; ///< Reads the prompt before, and hands it over.
    bool operator==(const RequestPlacement &) const = default;
};

/// How a request at a backend server ended.
enum class SendOutcome {
    Served,
    Rejected, ///< Did not run; the backend server is well but full or leaving.
    Failed,   ///< Broken, silent or malformed.
    Abandoned ///< The caller left or the time was over.
};

/// Options of a BackendTable.
struct BackendTableOptions
{
    DataCentreId dataCentre;
    std::uint64_t seed = 1;
};

/// What one entry instance knows about backend servers, and its choice among them. Pure.
class BackendTable
{
public:
    explicit BackendTable(BackendTableOptions options);
    ~BackendTable();
    BackendTable(BackendTable &&) noexcept;
    BackendTable &operator=(BackendTable &&) noexcept;

    /// Replaces the list. A backend server that started anew begins without history.
    void publish(const BackendListing &listing);
    /// The backend server for a request, or none when none may take it now.
    std::optional<RequestPlacement> choose(const PlacementQuery &request, TimePoint now);
    /// What is declared of a service: its engines, and the connections that each backend server
    /// takes from all instances together.
    void setService(const DeclaredService &service);
    /// Entry instances in the system, which share each backend server.
    void setInstances(std::uint32_t instances) { m_instances = std::max(instances, 1U); }

    /// A chosen backend server gets no request after all.
    void notSent(const SendTarget &placed);
    /// The request leaves for its backend server.
    void sent(const SendTarget &placed, const PromptDescription *prompt, TimePoint now);
    /// The first event or the whole answer came.
    void answered(const SendTarget &placed, TimePoint now);
    /// Every sent() is followed by one ended().
    void ended(const SendTarget &placed, bool wasAnswered, SendOutcome outcome, TimePoint now);
    void noteLoad(const BackendId &backend, const StatedLoad &load, TimePoint now);
    /// What an engine reported to the registry at @p takenAt. True when it did not answer there and
    /// nothing came from it here since: then it is worth a check.
    bool noteReport(const ReportedLoad &load, TimePoint takenAt);
    /// A prompt could not be handed over from @p reader to @p runner.
    void noteKvTransferFailed(const BackendId &prefillEngine, const BackendId &responder,
                              TimePoint now);
    /// It said that the request is not for it: the list is behind, and the backend server is left
    /// alone until the list may have caught up.
    void noteMisdirected(const BackendId &backend, TimePoint now);
    /// A check found that the backend server does not answer, or that it does again.
    void noteSilent(const BackendId &backend, bool silent, TimePoint now);

    /// Time since anything came from the backend server; empty: never.
    std::optional<Duration> timeSinceContact(const BackendId &backend, TimePoint now) const;
    /// Something came from the backend server.
    void noteContact(const BackendId &backend, TimePoint now);
    /// The last check got no answer.
    bool isSilent(const BackendId &backend) const;
    /// It is listed and not about to leave.
    bool takesWork(const BackendId &backend) const;
    /// Ready backend servers of a service; for refusals and metrics.
    std::size_t readyServers(const std::string &service) const;
    /// The address of a listed backend server.
    std::optional<HttpAddress> addressOf(const BackendId &backend) const;

private:
    struct Backend;

    Backend *find(const SendTarget &placed);
    /// Fits and may be tried; servers that keep failing only when @p allowFailing ones will do.
    bool usable(const Backend &backend, const PlacementQuery &request, bool allowFailing,
                TimePoint now) const;
    std::optional<RequestPlacement> chooseLeastLoaded(const std::vector<Backend *> &usable,
                                                      TimePoint now);
    std::optional<RequestPlacement> chooseEngines(const std::vector<Backend *> &usable,
                                                  const PlacementQuery &request, TimePoint now);
    const Backend *rendezvousOwner(const std::vector<Backend *> &usable, std::uint64_t key) const;
    const Backend *formerOwner(const PlacementQuery &request, const Backend &owner,
                               TimePoint now) const;
    std::uint32_t uncachedTokens(const Backend &backend, const PromptDescription &prompt,
                                 bool owner, TimePoint now) const;
    double prefillMs(const Backend &backend, std::uint32_t uncached, TimePoint now) const;
    void updateSlowness(Backend &backend, const SendTarget &placed, TimePoint now) const;
    double decodeWaitMs(const Backend &backend, TimePoint now) const;
    double kvTransferMs(const std::string &service, std::uint32_t tokens) const;
    double slotCost(const Backend &backend, TimePoint now) const;
    static SendTarget makeTarget(const Backend &backend, std::uint32_t uncached, double waitMs,
                                 TimePoint now);

    BackendTableOptions m_options;
    std::map<BackendId, std::unique_ptr<Backend>> m_backends;
    std::map<std::string, DeclaredService> m_services;
    std::uint32_t m_instances = 1;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_random;
    double m_meanUncachedTokens; ///< Tokens of a prompt that an engine has to read, as seen lately.
};

} // namespace gentianramp
