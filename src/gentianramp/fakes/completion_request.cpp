#include "completion_request.hpp"

#include <charconv>
#include <nlohmann/json.hpp>
#include <sstream>

namespace gentianramp {

namespace {

using nlohmann::json;

constexpr std::uint32_t DefaultOutputTokens = 16;

std::uint32_t countWords(const std::string &text)
{
    std::istringstream in(text);
    std::uint32_t words = 0;
    for (std::string word; in >> word;)
        ++words;
    return words;
}

std::uint32_t promptTokens(const json &body)
{
    if (body.contains("gentianramp_prompt_tokens"))
        return body["gentianramp_prompt_tokens"].get<std::uint32_t>();
    std::uint32_t tokens = 0;
    if (body.contains("prompt"))
        tokens += countWords(body["prompt"].get<std::string>());
    for (const json &message : body.value("messages", json::array()))
        tokens += countWords(message.value("content", std::string()));
    return tokens;
}

std::uint32_t headerNumber(const HttpRequest &request, std::string_view name,
                           std::uint32_t fallback)
{
    const std::string_view text = request.headers.find(name);
    std::uint32_t value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

void readPrefix(const json &body, EngineRequest &work)
{
    if (!body.contains("gentianramp_prefix"))
        return;
    work.prefixes.push_back({prefixHash(body["gentianramp_prefix"].get<std::string>()),
                             body.value("gentianramp_prefix_tokens", 0U)});
}

} // namespace

Result<CompletionRequest> parseCompletionRequest(const HttpRequest &request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return {Error::Malformed, "body is not a JSON object"};
    try {
        CompletionRequest result;
        result.chat = request.path() == "/v1/chat/completions";
        result.stream = body.value("stream", false);
        result.model = body.value("model", std::string());
        result.kvHandle = body.value("gentianramp_kv_handle", std::string());
        EngineRequest &work = result.work;
        work.id = RequestId(std::string(request.headers.find("Gentianramp-Request-Id")));
        work.attempt = Attempt(headerNumber(request, "Gentianramp-Attempt", 1));
        work.priority = headerNumber(request, "Gentianramp-Priority", 0);
        work.promptTokens = promptTokens(body);
        work.outputTokens = body.value("max_tokens", DefaultOutputTokens);
        work.resumeOffset = body.value("gentianramp_resume_offset", 0U);
        work.prefillOnly = body.value("gentianramp_prefill_only", false);
        readPrefix(body, work);
        return result;
    } catch (const json::exception &problem) {
        return {Error::Malformed, problem.what()};
    }
}

std::string tokenText(std::uint32_t offset, const RequestId &request)
{
    return 't' + std::to_string(offset) + '-' + request.value() + ' ';
}

} // namespace gentianramp
