#include "authority_engine_client.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace gentianramp {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr Duration ConnectTimeout = std::chrono::milliseconds(200);
constexpr Duration StateTimeout = std::chrono::milliseconds(800);
constexpr std::size_t MaxBodyBytes = 256 * 1024;
constexpr unsigned StatusOk = 200;

constexpr std::pair<std::string_view, EnginePhase> Phases[] = {{"serving", EnginePhase::Serving},
                                                               {"changing", EnginePhase::Changing},
                                                               {"draining", EnginePhase::Draining},
                                                               {"leaving", EnginePhase::Leaving}};

std::optional<EnginePhase> parsePhase(std::string_view text)
{
    for (const auto &[name, phase] : Phases) {
        if (name == text)
            return phase;
    }
    return std::nullopt;
}

EngineRole parseRole(std::string_view text)
{
    if (text == "prefill")
        return EngineRole::Prefill;
    return text == "decode" ? EngineRole::Decode : EngineRole::Mixed;
}

std::string_view roleName(EngineRole role)
{
    switch (role) {
    case EngineRole::Prefill:
        return "prefill";
    case EngineRole::Decode:
        return "decode";
    case EngineRole::Mixed:
        break;
    }
    return "mixed";
}

EngineReport readState(const BackendId &backend, const json &body)
{
    EngineReport report{.backend = backend};
    const auto phase = parsePhase(body.at("phase").get<std::string>());
    report.phase = phase.value_or(EnginePhase::Changing);
    report.role = parseRole(body.value("role", std::string()));
    const json versions = body.value("versions", json::object());
    for (const auto &[model, version] : versions.items())
        report.versions[ModelId(model)] = {version.get<std::string>()};
    report.adapters = body.value("adapters", std::vector<std::string>());
    report.fencing = FencingNumber(body.value("fencing", std::uint64_t{0}));
    report.requestsRunning = body.value("running", std::uint32_t{0});
    if (const auto order = body.find("order"); order != body.end())
        report.orderRunning = order->value("phase", std::string()) == "running";
    return report;
}

std::optional<FencingNumber> fencingInAnswer(const std::string &body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("fencing")
        || !parsed["fencing"].is_number_unsigned())
        return std::nullopt;
    return FencingNumber(parsed["fencing"].get<std::uint64_t>());
}

} // namespace

Result<EngineReport> parseEngineState(const BackendId &backend, std::string_view body)
{
    try {
        return readState(backend, json::parse(body));
    } catch (const json::exception &error) {
        return {Error::Malformed, error.what()};
    }
}

std::string orderBody(const SentOrder &sent)
{
    json body{{"fencing", sent.fencing.value()},
              {"order_id", sent.orderId},
              {"kind", toString(sent.order.kind)}};
    if (sent.order.kind == OrderKind::SetRole)
        body["role"] = roleName(sent.order.role);
    if (!sent.order.adapter.empty()) {
        body["adapter"] = sent.order.adapter;
    } else if (!sent.order.version.empty()) {
        body["model"] = sent.order.model.value();
        body["version"] = sent.order.version;
    }
    return body.dump();
}

AuthorityEngineClient::AuthorityEngineClient(HttpClient &client, Duration orderTimeout)
    : m_client(client)
    , m_orderTimeout(orderTimeout)
{ }

asio::awaitable<Result<EngineReport>> AuthorityEngineClient::state(BackendId backend,
                                                                   HttpAddress address)
{
    HttpCall call;
    call.address = std::move(address);
    call.request.target = "/engine/state";
    call.connectTimeout = ConnectTimeout;
    call.headTimeout = StateTimeout;
    call.silenceTimeout = StateTimeout;
    call.maxBodyBytes = MaxBodyBytes;
    const Result<HttpResponse> answer = co_await m_client.request(std::move(call));
    if (!answer)
        co_return Result<EngineReport>(answer.error(), answer.message());
    if (answer->status != StatusOk)
        co_return Result<EngineReport>(
            Error::Unavailable, "the engine answered the state request with an error status");
    co_return parseEngineState(backend, answer->body);
}

asio::awaitable<OrderResult> AuthorityEngineClient::send(SentOrder order, HttpAddress address,
                                                         std::function<bool()> maySend)
{
    HttpCall call;
    call.address = std::move(address);
    call.request.method = "POST";
    call.request.target = "/engine/order";
    call.request.headers.set("Content-Type", "application/json");
    call.request.body = orderBody(order);
    call.connectTimeout = ConnectTimeout;
    // AuthorityController starts to send in the first half of the order timeout or not at all.
    call.headTimeout = m_orderTimeout / 2;
    call.silenceTimeout = m_orderTimeout / 2;
    call.maxBodyBytes = MaxBodyBytes;
    call.freshConnection = true;
    call.mayStart = std::move(maySend);
    const Result<HttpResponse> answer = co_await m_client.request(std::move(call));
    OrderResult result;
    if (!answer) {
        result.sent = answer.error() != make_error_code(Error::ConnectionRefused);
        co_return result;
    }
    result.answered = true;
    result.accepted = answer->status == StatusOk;
    result.fencing = fencingInAnswer(answer->body);
    co_return result;
}

} // namespace gentianramp
