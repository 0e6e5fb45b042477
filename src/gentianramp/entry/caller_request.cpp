#include "caller_request.hpp"

#include "header_names.hpp"

#include <algorithm>
#include <charconv>
#include <gentianramp/core/bounded_json.hpp>
#include <gentianramp/declaration/customer_keys.hpp>
#include <gentianramp/engine/token_sequence.hpp>
#include <gentianramp/http/memory_budget.hpp>
#include <nlohmann/json.hpp>

namespace gentianramp {

namespace {

using nlohmann::json;

constexpr std::uint32_t MaxTokensBound = 1U << 24;
constexpr std::int64_t MaxTimeoutMs = 24LL * 3600 * 1000;
constexpr JsonLimits CompletionLimits{.maxDepth = 64, .maxValues = 200'000};

/// Body of a request with the room that it takes.
struct HeldBody
{
    std::string text;
    std::shared_ptr<MemoryLease> lease;
};

bool isModelPath(std::string_view path)
{
    return path == "/v1/chat/completions" || path == "/v1/completions";
}

bool isValidId(std::string_view text)
{
    const auto visible = [](char c) { return c > ' ' && c < 127 && c != '"' && c != '\\'; };
    return text.size() <= MaxIdLength && std::ranges::all_of(text, visible);
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

std::uint32_t countContentWords(const json &content)
{
    if (content.is_string())
        return countWords(content.get_ref<const std::string &>());
    std::uint32_t words = 0;
    if (content.is_array()) {
        for (const json &part : content)
            words += countContentWords(part.is_object() ? part.value("text", json()) : part);
    }
    return words;
}

std::uint32_t countPromptWords(const json &body)
{
    std::uint32_t words = countContentWords(body.value("prompt", json()));
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array())
        return words;
    for (const json &message : *messages)
        words += message.is_object() ? countContentWords(message.value("content", json())) : 0;
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

CompletionParameters readCompletion(const json &body)
{
    CompletionParameters completion;
    completion.model = body.at("model").get<std::string>();
    completion.adapter = body.value("gentianramp_adapter", std::string());
    if (body.contains("gentianramp_version"))
        completion.version = body["gentianramp_version"].get<std::string>();
    completion.stream = body.value("stream", false);
    completion.maxTokens = numberField(body, "max_tokens", 0);
    completion.promptTokens = body.contains("gentianramp_prompt_tokens")
        ? numberField(body, "gentianramp_prompt_tokens", 0)
        : countPromptWords(body);
    if (body.contains("gentianramp_prefix"))
        completion.prefixes.push_back({prefixHash(body["gentianramp_prefix"].get<std::string>()),
                                       numberField(body, "gentianramp_prefix_tokens", 0)});
    return completion;
}

FilterResult<CompletionParameters> parseCompletion(const std::string &text)
{
    const json body = parseBoundedJson(text, CompletionLimits);
    if (!body.is_object())
        return notRun(400, "malformed_json",
                      "the body is not a JSON object of at most 200,000 values, 64 levels deep");
    try {
        return readCompletion(body);
    } catch (const std::exception &problem) {
        return notRun(400, "invalid_field", problem.what());
    }
}

/// Reads the optional timeout; false when its value is malformed or too large.
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

Verdict CallerRequest::undispatchedVerdict() const noexcept
{
    return hasCallerId && !firstAttempt ? Verdict::MayHaveRun : Verdict::NotRun;
}

FilterResult<CallerRequest> acceptRequest(HttpRequest request, const RequestId &generatedId,
                                          TimePoint now)
{
    const HttpHeaders &headers = request.headers;
    CallerRequest accepted;
    accepted.id = RequestId(std::string(headers.find(header::RequestId)));
    accepted.key = IdempotencyKey(std::string(headers.find(header::IdempotencyKey)));
    accepted.hasCallerId = !accepted.id.value().empty() || !accepted.key.value().empty();
    accepted.firstAttempt = headers.find(header::Attempt) == "1";
    const Verdict verdict = accepted.undispatchedVerdict();
    if (!isValidId(accepted.id.value()) || !isValidId(accepted.key.value()))
        return RequestError{
            400,
            verdict,
            "invalid_name",
            "Gentianramp-Request-Id and Idempotency-Key must be at most 128 printable ASCII "
            "characters without spaces, double quotes and backslashes",
            {}};
    if (accepted.id.value().empty())
        accepted.id = generatedId;
    if (!readTimeout(headers, accepted.timeout))
        return RequestError{
            400,
            verdict,
            "invalid_timeout",
            "Gentianramp-Timeout-Ms must be a whole number of milliseconds, at most 86400000",
            {}};
    if (accepted.timeout && *accepted.timeout <= Duration::zero())
        return RequestError{
            504, verdict, "deadline_expired", "the caller's deadline has passed", {}};
    accepted.bearerKey = bearerKey(headers.find("Authorization"));
    accepted.contentType = std::string(headers.find("Content-Type"));
    accepted.arrivedAt = now;
    if (isModelPath(request.path())) {
        if (request.method != "POST")
            return RequestError{405, verdict, "method_not_allowed", "use POST", {}};
        FilterResult<CompletionParameters> completion = parseCompletion(request.body);
        if (RequestError *error = std::get_if<RequestError>(&completion)) {
            error->verdict = verdict;
            return std::move(*error);
        }
        accepted.completion = std::move(std::get<CompletionParameters>(completion));
        accepted.completion->resumeAfter = parseTokenOffset(headers.find(header::LastEventId));
    }
    accepted.method = std::move(request.method);
    accepted.target = std::move(request.target);
    const auto held = std::make_shared<const HeldBody>(
        HeldBody{std::move(request.body), std::move(request.lease)});
    accepted.body = std::shared_ptr<const std::string>(held, &held->text);
    return accepted;
}

std::shared_ptr<const std::string> engineBody(const CallerRequest &request,
                                              const EngineFields &fields)
{
    const bool changed = fields.model != request.completion->model || fields.resumeOffset > 0
        || !fields.kvHandle.empty() || fields.prefillOnly;
    if (!changed)
        return request.body;
    json body = json::parse(*request.body);
    body["model"] = fields.model;
    if (fields.resumeOffset > 0)
        body["gentianramp_resume_offset"] = fields.resumeOffset;
    if (!fields.kvHandle.empty())
        body["gentianramp_kv_handle"] = fields.kvHandle;
    if (fields.prefillOnly)
        body["gentianramp_prefill_only"] = true;
    return std::make_shared<const std::string>(body.dump());
}

} // namespace gentianramp
