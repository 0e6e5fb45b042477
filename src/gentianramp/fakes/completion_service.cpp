#include "completion_service.hpp"

#include <gentianramp/http/sse.hpp>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

using nlohmann::json;

constexpr Duration StreamPollInterval = std::chrono::seconds(1);

/// Identifies the answer with the request and attempt that it belongs to.
void identify(HttpResponse &response, const EngineRequest &work)
{
    response.headers.add("Gentianramp-Request-Id", work.id.value());
    response.headers.add("Gentianramp-Attempt", std::to_string(work.attempt.value()));
}

json tokenChoice(const CompletionRequest &request, const std::string &text)
{
    json choice{{"index", 0}};
    if (request.chat)
        choice["delta"] = {{"content", text}};
    else
        choice["text"] = text;
    return {{"choices", json::array({choice})}};
}

} // namespace

CompletionService::CompletionService(std::shared_ptr<BackendContext> context)
    : m_context(std::move(context))
{ }

asio::awaitable<void> CompletionService::answer(const HttpRequest &request, ResponseWriter &writer)
{
    Result<CompletionRequest> parsed = parseCompletionRequest(request);
    if (!parsed) {
        co_await writer.send(notRun(400, parsed.message()));
        co_return;
    }
    CompletionRequest completion = *parsed;
    if (!m_context->versions.contains(completion.model)) {
        co_await writer.send(notRun(404, "model is not loaded"));
        co_return;
    }
    if (auto refused = m_context->refusal(request)) {
        co_await writer.send(std::move(*refused));
        co_return;
    }
    completion.work.kvImported = m_context->importedKv.erase(completion.kvHandle) > 0;
    if (!m_context->host->submit(completion.work)) {
        co_await writer.send(notRun(503, "not serving"));
        co_return;
    }
    m_context->runs.add(runEntry(request));
    const AttemptKey key{completion.work.id, completion.work.attempt};
    writer.setCallerGoneHook([context = m_context, key] { context->host->cancel(key); });
    if (m_context->faults.take(FaultKind::Hang))
        co_await hang();
    if (completion.work.prefillOnly)
        co_await answerPrefill(completion, writer);
    else if (completion.stream)
        co_await streamAnswer(completion, writer);
    else
        co_await wholeAnswer(completion, writer);
    m_context->host->cancel(key);
}

asio::awaitable<bool> CompletionService::waitUntilFinished(const CompletionRequest &completion)
{
    const AttemptKey key{completion.work.id, completion.work.attempt};
    StreamState state;
    while (!state.finished && !state.cut)
        state = co_await m_context->host->wait(key, UINT32_MAX, StreamPollInterval);
    co_return state.finished;
}

asio::awaitable<void> CompletionService::answerPrefill(const CompletionRequest &completion,
                                                       ResponseWriter &writer)
{
    if (!co_await waitUntilFinished(completion))
        co_return;
    const std::string handle = m_context->options.id.value() + '/' + std::to_string(++m_lastHandle);
    HttpResponse response = jsonResponse(
        200, {{"kv_handle", handle}, {"prompt_tokens", completion.work.promptTokens}});
    identify(response, completion.work);
    co_await writer.send(std::move(response));
}

asio::awaitable<void> CompletionService::wholeAnswer(const CompletionRequest &completion,
                                                     ResponseWriter &writer)
{
    if (!co_await waitUntilFinished(completion))
        co_return;
    std::string text;
    const EngineRequest &work = completion.work;
    for (std::uint32_t offset = work.resumeOffset + 1; offset <= work.outputTokens; ++offset)
        text += tokenText(offset, work.id);
    json choice{{"index", 0}, {"finish_reason", "length"}};
    if (completion.chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    HttpResponse response
        = jsonResponse(200,
                       {{"id", work.id.value()},
                        {"model", completion.model},
                        {"choices", json::array({choice})},
                        {"usage",
                         {{"prompt_tokens", work.promptTokens},
                          {"completion_tokens", work.outputTokens - work.resumeOffset}}}});
    identify(response, work);
    co_await writer.send(std::move(response));
}

asio::awaitable<void> CompletionService::streamAnswer(const CompletionRequest &completion,
                                                      ResponseWriter &writer)
{
    HttpResponse head;
    head.headers.add("Content-Type", "text/event-stream");
    identify(head, completion.work);
    if (co_await writer.startStream(std::move(head)))
        co_return;
    const AttemptKey key{completion.work.id, completion.work.attempt};
    const std::uint64_t round = m_context->blackholeRound;
    std::uint32_t sent = completion.work.resumeOffset;
    for (;;) {
        const StreamState state = co_await m_context->host->wait(key, sent, StreamPollInterval);
        if (writer.callerGone() || state.cut)
            co_return;
        if (round != m_context->blackholeRound)
            co_await hang();
        if (state.tokens > sent && co_await sendTokens(completion, writer, sent, state.tokens))
            co_return;
        sent = state.tokens;
        if (sent > completion.work.resumeOffset
            && m_context->faults.take(FaultKind::CrashMidStream))
            co_return;
        if (state.finished)
            break;
    }
    const std::error_code lost = co_await writer.writePiece("data: [DONE]\n\n");
    if (!lost)
        co_await writer.finishStream();
}

asio::awaitable<std::error_code> CompletionService::sendTokens(const CompletionRequest &completion,
                                                               ResponseWriter &writer,
                                                               std::uint32_t sent,
                                                               std::uint32_t until)
{
    std::string piece;
    for (std::uint32_t offset = sent + 1; offset <= until; ++offset) {
        const std::string text = tokenText(offset, completion.work.id);
        appendSse(piece, {std::to_string(offset), {}, tokenChoice(completion, text).dump()});
    }
    co_return co_await writer.writePiece(piece);
}

} // namespace gentianramp
