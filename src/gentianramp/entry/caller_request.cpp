#include "caller_request.hpp"

#include "header_names.hpp"

#include <algorithm>
#include <charconv>
#include <gentianramp/engine/token_sequence.hpp>
#include <nlohmann/json.hpp>

namespace gentianramp {

namespace {

using nlohmann::json;

constexpr std::string_view BearerScheme = "Bearer ";
constexpr std::uint32_t MaxTokensBound = 1U << 24;
constexpr std::int64_t MaxTimeoutMs = 24LL * 3600 * 1000;

bool isModelPath(std::string_view path)
{
    return path == "/v1/chat/completions" || path == "/v1/completions";
}

bool isName(std::string_view text)
{
    const auto visible = [](char c) { return c > ' ' && c < 127 && c != '"' && c != '\\'; };
    return text.size() <= MaxNameLength && std::ranges::all_of(text, visible);
}

std::uint32_t countWords(std::string_view text)
{
    std::uint32_t words = 0;
    bool inWord = false;
    for (const char character : text) {
        const bool space
            = character == ' ' || character == '\n' || character == '\t' || character == '\r';
        words += (!space && !inWord) ? 1 : 0;
        inWord = !space;
    }
    return words;
}

std::uint32_t countContent(const json &content)
{
    if (content.is_string())
        return countWords(content.get_ref<const std::string &>());
    std::uint32_t words = 0;
    if (content.is_array()) {
        for (const json &part : content)
            words += countContent(part.is_object() ? part.value("text", json()) : part);
    }
    return words;
}

std::uint32_t countPrompt(const json &body)
{
    std::uint32_t words = countContent(body.value("prompt", json()));
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array())
        return words;
    for (const json &message : *messages)
        words += message.is_object() ? countContent(message.value("content", json())) : 0;
    return words;
}

std::uint32_t numberField(const json &body, const char *name, std::uint32_t fallback)
{
    const auto found = body.find(name);
    if (found == body.end() || found->is_null())
        return fallback;
    const auto value = found->get<std::int64_t>();
    if (!found->is_number_integer() || value < 0 || value > MaxTokensBound)
        throw std::invalid_argument(std::string(name) + " must be a whole number from 0 to "
                                    + std::to_string(MaxTokensBound));
    return static_cast<std::uint32_t>(value);
}

ModelAsk readAsk(const json &body)
{
    ModelAsk ask;
    ask.model = body.at("model").get<std::string>();
    ask.adapter = body.value("gentianramp_adapter", std::string());
    if (body.contains("gentianramp_version"))
        ask.version = body["gentianramp_version"].get<std::string>();
    ask.stream = body.value("stream", false);
    ask.maxTokens = numberField(body, "max_tokens", 0);
    ask.promptTokens = body.contains("gentianramp_prompt_tokens")
        ? numberField(body, "gentianramp_prompt_tokens", 0)
        : countPrompt(body);
    if (body.contains("gentianramp_prefix"))
        ask.prefixes.push_back({prefixHash(body["gentianramp_prefix"].get<std::string>()),
                                numberField(body, "gentianramp_prefix_tokens", 0)});
    return ask;
}

Passed<ModelAsk> parseAsk(const std::string &text)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return notRun(400, "malformed_json", "the body is not a JSON object");
    try {
        return readAsk(body);
    } catch (const std::exception &problem) {
        return notRun(400, "invalid_field", problem.what());
    }
}

std::string readBearer(const HttpHeaders &headers)
{
    const std::string_view value = headers.find("Authorization");
    if (!value.starts_with(BearerScheme))
        return {};
    return std::string(value.substr(BearerScheme.size()));
}

/// Reads the optional timeout; a value that is no time is an error.
bool readTimeout(const HttpHeaders &headers, std::optional<Duration> &timeout)
{
    const std::string_view text = headers.find(header::TimeoutMs);
    if (text.empty())
        return true;
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value > MaxTimeoutMs)
        return false;
    timeout = std::chrono::milliseconds(value);
    return true;
}

} // namespace

std::string_view CallerRequest::path() const noexcept
{
    return std::string_view(target).substr(0, target.find('?'));
}

Verdict CallerRequest::priorVerdict() const noexcept
{
    return named && !firstAttempt ? Verdict::MayHaveRun : Verdict::NotRun;
}

Passed<CallerRequest> acceptRequest(HttpRequest request, const RequestId &generatedId,
                                    TimePoint now)
{
    const HttpHeaders &headers = request.headers;
    CallerRequest accepted;
    accepted.id = RequestId(std::string(headers.find(header::RequestId)));
    accepted.key = IdempotencyKey(std::string(headers.find(header::IdempotencyKey)));
    accepted.named = !accepted.id.value().empty() || !accepted.key.value().empty();
    accepted.firstAttempt = headers.find(header::Attempt) == "1";
    const Verdict prior = accepted.priorVerdict();
    if (!isName(accepted.id.value()) || !isName(accepted.key.value()))
        return Exit{400, prior, "invalid_name", "request id or idempotency key is not valid", {}};
    if (accepted.id.value().empty())
        accepted.id = generatedId;
    if (!readTimeout(headers, accepted.timeout))
        return Exit{400, prior, "invalid_timeout", "the timeout is no number of milliseconds", {}};
    if (accepted.timeout && *accepted.timeout <= Duration::zero())
        return Exit{504, prior, "deadline_expired", "the caller's deadline has passed", {}};
    accepted.bearerKey = readBearer(headers);
    accepted.contentType = std::string(headers.find("Content-Type"));
    accepted.arrivedAt = now;
    if (isModelPath(request.path())) {
        if (request.method != "POST")
            return Exit{405, prior, "method_not_allowed", "use POST", {}};
        Passed<ModelAsk> ask = parseAsk(request.body);
        if (Exit *exit = std::get_if<Exit>(&ask)) {
            exit->verdict = prior;
            return std::move(*exit);
        }
        accepted.ask = std::move(std::get<ModelAsk>(ask));
        accepted.ask->resumeAfter = parseTokenOffset(headers.find(header::LastEventId));
    }
    accepted.method = std::move(request.method);
    accepted.target = std::move(request.target);
    accepted.body = std::move(request.body);
    return accepted;
}

std::string engineBody(const CallerRequest &request, const EngineFields &fields)
{
    const bool changed = fields.model != request.ask->model || fields.resumeOffset > 0
        || !fields.kvHandle.empty() || fields.prefillOnly;
    if (!changed)
        return request.body;
    json body = json::parse(request.body);
    body["model"] = fields.model;
    if (fields.resumeOffset > 0)
        body["gentianramp_resume_offset"] = fields.resumeOffset;
    if (!fields.kvHandle.empty())
        body["gentianramp_kv_handle"] = fields.kvHandle;
    if (fields.prefillOnly)
        body["gentianramp_prefill_only"] = true;
    return body.dump();
}

} // namespace gentianramp
