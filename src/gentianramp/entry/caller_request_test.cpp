#include "caller_request.hpp"

#include <gentianramp/http/memory_budget.hpp>
#include <random>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 20261203;
const RequestId Generated("generated");

HttpRequest completion(std::string body, HttpHeaders headers = {})
{
    return {"POST", "/v1/completions", std::move(headers), std::move(body)};
}

FilterResult<CallerRequest> accept(HttpRequest request)
{
    return acceptRequest(std::move(request), Generated, TimePoint{});
}

RequestError errorOf(HttpRequest request)
{
    const FilterResult<CallerRequest> result = accept(std::move(request));
    cr_assert(std::holds_alternative<RequestError>(result));
    return std::get<RequestError>(result);
}

CallerRequest acceptedOf(HttpRequest request)
{
    const FilterResult<CallerRequest> result = accept(std::move(request));
    cr_assert(std::holds_alternative<CallerRequest>(result));
    return std::get<CallerRequest>(result);
}

} // namespace

Test(CallerRequest, ParsesTheFieldsUsedByRouting)
{
    const CallerRequest request = acceptedOf(
        completion(R"({"model":"m","prompt":"one two  three","max_tokens":9,"stream":true,)"
                   R"("gentianramp_prefix":"p","gentianramp_prefix_tokens":2})",
                   {{"Authorization", "Bearer secret"}, {"Last-Event-ID", "4"}}));
    cr_assert(request.id == Generated);
    cr_assert(request.bearerKey == "secret");
    cr_assert(request.completion->stream);
    cr_assert_eq(request.completion->promptTokens, 3U);
    cr_assert_eq(request.completion->maxTokens, 9U);
    cr_assert_eq(request.completion->resumeAfter, 4U);
    cr_assert(request.completion->prefixes == (std::vector<PromptPrefix>{{prefixHash("p"), 2}}));
    cr_assert(request.undispatchedVerdict() == Verdict::NotRun);
}

Test(CallerRequest, UndispatchedVerdictIsMayHaveRunUnlessFirstAttempt)
{
    const std::string body = R"({"model":"m"})";
    const auto repeat = acceptedOf(completion(body, {{"Gentianramp-Request-Id", "r"}}));
    cr_assert(repeat.undispatchedVerdict() == Verdict::MayHaveRun);
    const auto keyed = acceptedOf(completion(body, {{"Idempotency-Key", "k"}}));
    cr_assert(keyed.undispatchedVerdict() == Verdict::MayHaveRun);
    const auto first
        = acceptedOf(completion(body, {{"Idempotency-Key", "k"}, {"Gentianramp-Attempt", "1"}}));
    cr_assert(first.undispatchedVerdict() == Verdict::NotRun);
}

Test(CallerRequest, RejectsInvalidRequestsWithTheMatchingStatus)
{
    cr_assert_eq(errorOf(completion("{")).status, 400U);
    cr_assert_eq(errorOf(completion("[]")).status, 400U);
    cr_assert_eq(errorOf(completion("{}")).status, 400U);
    cr_assert_eq(errorOf(completion(R"({"model":1})")).status, 400U);
    cr_assert_eq(errorOf(completion(R"({"model":"m","max_tokens":-1})")).status, 400U);
    cr_assert_eq(errorOf(completion(R"({"model":"m","max_tokens":1e300})")).status, 400U);
    cr_assert_eq(errorOf({"GET", "/v1/completions", {}, ""}).status, 405U);
    const std::string body = R"({"model":"m"})";
    cr_assert_eq(errorOf(completion(body, {{"Idempotency-Key", "a b"}})).status, 400U);
    cr_assert_eq(errorOf(completion(body, {{"Gentianramp-Timeout-Ms", "soon"}})).status, 400U);
    const RequestError expired = errorOf(completion(body, {{"Gentianramp-Timeout-Ms", "0"}}));
    cr_assert_eq(expired.status, 504U);
    cr_assert(expired.verdict == Verdict::NotRun);
}

Test(CallerRequest, KeepsTheBodyUnlessAFieldChanges)
{
    const std::string body = R"({ "model": "m", "stream": true })";
    const CallerRequest request = acceptedOf(completion(body));
    cr_assert(*engineBody(request, {"m", 0, {}, false}) == body);
    const std::string resumed = *engineBody(request, {"m", 7, "h", false});
    cr_assert(resumed.find("\"gentianramp_resume_offset\":7") != std::string::npos);
    cr_assert(resumed.find("\"gentianramp_kv_handle\":\"h\"") != std::string::npos);
}

Test(CallerRequest, RandomBodiesDoNotCrash)
{
    std::mt19937_64 random(Seed);
    const std::string_view alphabet = R"({}[]":,model1-e0.truenull\u )";
    std::uniform_int_distribution<std::size_t> pick(0, alphabet.size() - 1);
    for (int run = 0; run < 2000; ++run) {
        std::string body = R"({"model":"m","messages":)";
        for (int length = 0; length < 40; ++length)
            body += alphabet[pick(random)];
        accept(completion(body + '}'));
        accept(completion(std::string(2000, '[') + body));
    }
}

// A megabyte of opening brackets took over a hundred megabytes of memory.
Test(CallerRequest, RefusesTextThatTakesMuchMoreMemoryThanItsLength)
{
    cr_assert_eq(errorOf(completion(std::string(1024 * 1024, '['))).reason, "malformed_json");
    std::string many = R"({"model":"m","prompt":[0)";
    for (int count = 0; count < 250'000; ++count)
        many += ",0";
    cr_assert_eq(errorOf(completion(many + "]}")).reason, "malformed_json");
}

// The room was given back as soon as the request had been read, while its body was still held.
Test(CallerRequest, HoldsItsRoomAsLongAsItsBody)
{
    MemoryBudget budget(1000);
    HttpRequest request{"POST", "/bay/unlock", {}, std::string(100, 'a')};
    request.lease = budget.requestLease([] {});
    cr_assert(request.lease->grow(100, TimePoint{}));
    std::optional<CallerRequest> accepted = acceptedOf(std::move(request));
    const std::shared_ptr<const std::string> sent = accepted->body;
    accepted.reset();
    cr_assert_eq(budget.heldBytes(), 100U);
}
