#pragma once

#include "relay_state.hpp"

#include <gentianramp/core/verdict.hpp>
#include <gentianramp/relay/event_assembler.hpp>

namespace gentianramp {

/// One request of a caller on its way to backend servers and back.
class RelayRun : public std::enable_shared_from_this<RelayRun>
{
public:
    RelayRun(std::shared_ptr<RelayState> state, HttpRequest request, ResponseWriter &writer);
    ~RelayRun();

    boost::asio::awaitable<void> serve();
    /// Gives the request up: what did not begin to be answered gets its final answer.
    void expire();

private:
    /// How one send ended.
    enum class Step {
        Done,       ///< The caller got its answer, or its connection can't be used any more.
        NotRun,     ///< The backend server did not run it.
        Unreached,  ///< No byte left.
        MayHaveRun, ///< No usable answer came.
    };
    /// One send to a backend server.
    struct Send
    {
        PlacedRequest placed;
        std::shared_ptr<HttpExchange> exchange;
        bool answered = false;
        TimePoint sentAt{};
    };

    // Identify
    boost::asio::awaitable<bool> identify();
    boost::asio::awaitable<void> answerOwn(unsigned status, std::string_view reason,
                                           std::optional<Duration> retryAfter = std::nullopt);

    // Choose and send
    boost::asio::awaitable<void> sendUntilDone();
    std::optional<RequestPlacement> place();
    boost::asio::awaitable<Step> sendOnce(const PlacedRequest &placed);
    /// Has the prompt read; sets m_source. NotRun when the engine didn't.
    boost::asio::awaitable<Step> readPrompt(const PlacedRequest &reader);
    void freeSource();
    HttpCall makeCall(const PlacedRequest &placed) const;
    void logSendFailed(const PlacedRequest &placed, std::string_view what, Step step,
                       const std::error_code &error, unsigned status, TimePoint sentAt) const;
    bool mayRepeat(Step step) const;
    bool takeRepeat();

    // Relay
    boost::asio::awaitable<Step> relay(Send &send);
    boost::asio::awaitable<Step> relayWhole(Send &send);
    boost::asio::awaitable<Step> relayStream(Send &send);
    boost::asio::awaitable<bool> deliver(Send &send, std::string_view events);
    HttpResponse callerHead(const HttpExchange &exchange) const;
    void noteLoad(const Send &send);
    bool isEventStream(const HttpExchange &exchange) const;
    void noteAnswered(Send &send);
    void settle(Send &send, Step step);

    // Settle
    boost::asio::awaitable<void> refuse(std::string_view reason);
    boost::asio::awaitable<void> fail();
    Duration retryAfter() const;
    void logEnd(std::string_view event, unsigned status, std::string_view reason);

    // Time and the caller
    void startDeadline();
    void onCallerGone();
    void watchSilence();
    void noteProgress() { m_progressAt = RuntimeClock::now(); }
    Duration left() const;
    bool over() const { return m_callerGone || m_expired; }

    std::shared_ptr<RelayState> m_state;
    HttpRequest m_request;
    ResponseWriter *m_writer;
    std::shared_ptr<const RouteTable> m_routes;
    const Route *m_route = nullptr;
    std::string m_id;
    std::string m_service;
    std::optional<PromptDescription> m_prompt;
    TimePoint m_begunAt;
    TimePoint m_deadline = TimePoint::max();
    Timer m_deadlineTimer;
    Timer m_silenceTimer;
    TimePoint m_progressAt;
    std::optional<TimePoint> m_firstEventAt;

    std::shared_ptr<HttpExchange> m_exchange; ///< The open one.
    Duration m_expectedWait{};                ///< For which a request was refused.
    BackendId m_backend;                      ///< Of the last send.
    /// A prompt that an engine has read and keeps until it is taken.
    struct Source
    {
        BackendId reader;
        HttpAddress address;
        std::string handle;
    };
    std::optional<Source> m_source;
    std::uint32_t m_sends = 0;
    std::uint32_t m_reads = 0; ///< Engines asked to read the prompt.
    BackendId m_reader;        ///< The last of them.
    Duration m_placedWait{};   ///< Expected when the request was last placed.
    std::vector<BackendId> m_tried;
    Verdict m_verdict = Verdict::NotRun;
    std::optional<std::uint64_t> m_lastEvent;    ///< Delivered, or had by the caller.
    std::optional<HttpResponse> m_workerFailure; ///< A whole answer that says failure, kept.
    bool m_callerGone = false;
    bool m_expired = false;
    bool m_ended = false;
};

} // namespace gentianramp
