#pragma once

#include "relay_state.hpp"

#include <gentianramp/core/verdict.hpp>
#include <gentianramp/relay/event_assembler.hpp>

namespace gentianramp {

/// One request of a caller on its way to backend servers and back.
class RelayedRequest : public std::enable_shared_from_this<RelayedRequest>
{
public:
    RelayedRequest(std::shared_ptr<RelayState> state, HttpRequest request, ResponseWriter &writer);
    ~RelayedRequest();

    boost::asio::awaitable<void> serve();
    /// Gives the request up: what did not begin to be answered gets its final answer.
    void expire();

private:
    /// How one send ended.
    enum class AttemptResult {
        Done,       ///< The caller got its answer, or its connection can't be used any more.
        NotRun,     ///< The backend server did not run it.
        Unreached,  ///< No byte left.
        MayHaveRun, ///< No usable answer came.
    };
    /// One send to a backend server.
    struct Attempt
    {
        SendTarget placed;
        std::shared_ptr<HttpExchange> exchange;
        bool answered = false;
        TimePoint sentAt{};
    };

    // Identify
    boost::asio::awaitable<bool> identify();
    boost::asio::awaitable<void> answerLocally(unsigned status, std::string_view reason,
                                               std::optional<Duration> retryAfter = std::nullopt);

    // Choose and send
    boost::asio::awaitable<void> sendUntilDone();
    std::optional<RequestPlacement> choosePlacement();
    boost::asio::awaitable<AttemptResult> sendOnce(const SendTarget &placed);
    /// Has the prompt read; sets m_prefilledPrompt. NotRun when the engine didn't.
    boost::asio::awaitable<AttemptResult> prefillPrompt(const SendTarget &prefillEngine);
    void releasePrefilledPrompt();
    HttpCall makeCall(const SendTarget &placed) const;
    void logSendFailed(const SendTarget &placed, std::string_view event, AttemptResult result,
                       const std::error_code &error, unsigned status, TimePoint sentAt) const;
    bool mayRepeat(AttemptResult result) const;
    bool takeRepeat();

    // Relay
    boost::asio::awaitable<AttemptResult> relay(Attempt &attempt);
    boost::asio::awaitable<AttemptResult> relayWhole(Attempt &attempt);
    boost::asio::awaitable<AttemptResult> relayStream(Attempt &attempt);
    boost::asio::awaitable<bool> deliver(Attempt &attempt, std::string_view events);
    HttpResponse callerResponseHead(const HttpExchange &exchange) const;
    void noteLoad(const Attempt &attempt);
    bool isEventStream(const HttpExchange &exchange) const;
    void markAnswered(Attempt &attempt);
    void reportOutcome(Attempt &attempt, AttemptResult result);

    // Settle
    boost::asio::awaitable<void> refuse(std::string_view reason);
    boost::asio::awaitable<void> fail();
    Duration retryAfter() const;
    void logOutcome(std::string_view event, unsigned status, std::string_view reason);

    // Time and the caller
    void startDeadline();
    void onCallerGone();
    void watchSilence();
    void noteProgress() { m_progressAt = RuntimeClock::now(); }
    Duration timeLeft() const;
    bool over() const { return m_callerGone || m_expired; }

    std::shared_ptr<RelayState> m_state;
    HttpRequest m_request;
    ResponseWriter *m_writer;
    std::shared_ptr<const RouteTable> m_routes;
    const Route *m_route = nullptr;
    std::string m_id;
    std::string m_service;
    std::optional<PromptDescription> m_prompt;
    TimePoint m_startedAt;
    TimePoint m_deadline = TimePoint::max();
    Timer m_deadlineTimer;
    Timer m_silenceTimer;
    TimePoint m_progressAt;
    std::optional<TimePoint> m_firstEventAt;

    std::shared_ptr<HttpExchange> m_exchange; ///< The open one.
    Duration m_refusedWait{};                 ///< For which a request was refused.
    BackendId m_backend;                      ///< Of the last attempt.
    /// A prompt that an engine has read and keeps until it is taken.
    struct PrefilledPrompt
    {
        BackendId prefillEngine;
        HttpAddress address;
        std::string handle;
    };
    std::optional<PrefilledPrompt> m_prefilledPrompt;
    std::uint32_t m_sendCount = 0;
    std::uint32_t m_prefillCount = 0; ///< Engines asked to read the prompt.
    BackendId m_prefillEngine;        ///< The last of them.
    Duration m_lastExpectedWait{};    ///< Expected when the request was last placed.
    std::vector<BackendId> m_tried;
    Verdict m_verdict = Verdict::NotRun;
    std::optional<std::uint64_t> m_lastEventId;   ///< Delivered, or had by the caller.
    std::optional<HttpResponse> m_backendFailure; ///< A whole answer that says failure, kept.
    bool m_callerGone = false;
    bool m_expired = false;
    bool m_ended = false;
};

} // namespace gentianramp
