#pragma once

#include "backend_context.hpp"
#include "completion_request.hpp"

#include <gentianramp/http/server.hpp>

namespace gentianramp {

/// Answers completion requests with the tokens of an engine model.
class CompletionService
{
public:
    explicit CompletionService(std::shared_ptr<BackendContext> context);

    boost::asio::awaitable<void> answer(const HttpRequest &request, ResponseWriter &writer);

private:
    boost::asio::awaitable<bool> waitUntilFinished(const CompletionRequest &completion);
    boost::asio::awaitable<void> answerPrefill(const CompletionRequest &completion,
                                               ResponseWriter &writer);
    boost::asio::awaitable<void> wholeAnswer(const CompletionRequest &completion,
                                             ResponseWriter &writer);
    boost::asio::awaitable<void> streamAnswer(const CompletionRequest &completion,
                                              ResponseWriter &writer);
    boost::asio::awaitable<std::error_code> sendTokens(const CompletionRequest &completion,
                                                       ResponseWriter &writer, std::uint32_t sent,
                                                       std::uint32_t until);

    std::shared_ptr<BackendContext> m_context;
    std::uint64_t m_lastHandle = 0;
};

} // namespace gentianramp
