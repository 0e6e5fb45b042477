#include "declaration_exchange.hpp"

#include "forwarded_headers.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gentianramp/core/log.hpp>
#include <gentianramp/declaration/declaration.hpp>
#include <gentianramp/registry/packed_text.hpp>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

/// Instances are in the same region.
constexpr Duration FetchConnectTimeout = std::chrono::milliseconds(250);
constexpr Duration FetchTimeout = std::chrono::milliseconds(500);
/// An instance that gave no newer declaration is not asked again for this time.
constexpr Duration FailurePause = std::chrono::seconds(1);
constexpr std::size_t MaxPackedBytes = 16 * 1024 * 1024;

std::string errorText(const Result<std::string> &result)
{
    return result.message().empty() ? result.error().message() : result.message();
}

} // namespace

DeclarationExchange::DeclarationExchange(asio::any_io_executor executor, HttpClient &client,
                                         const PeerHooks &peers,
                                         std::function<std::uint64_t()> numberInForce,
                                         Counter &fetched)
    : m_executor(std::move(executor))
    , m_client(client)
    , m_peers(peers)
    , m_numberInForce(std::move(numberInForce))
    , m_fetched(fetched)
    , m_fetchEnd(m_executor)
{ }

bool DeclarationExchange::isBehind(std::uint64_t number) const
{
    return isNewerDeclaration(number, m_numberInForce());
}

asio::awaitable<bool> DeclarationExchange::catchUp(InstanceId source, std::uint64_t number)
{
    // Requests that are handed over meanwhile wait for the same answer.
    while (isBehind(number) && m_source) {
        const bool isSameSource = *m_source == source;
        boost::system::error_code ended;
        co_await m_fetchEnd.async_wait(asio::redirect_error(asio::use_awaitable, ended));
        if (isSameSource)
            co_return !isBehind(number);
    }
    const auto failed = m_failedAt.find(source);
    const bool isPaused
        = failed != m_failedAt.end() && RuntimeClock::now() - failed->second < FailurePause;
    if (isBehind(number) && !isPaused)
        co_await fetch(source, number);
    co_return !isBehind(number);
}

asio::awaitable<void> DeclarationExchange::fetch(const InstanceId &source, std::uint64_t number)
{
    const std::optional<HttpAddress> address = m_peers.helperAddress(source);
    const std::uint64_t former = m_numberInForce();
    HttpCall call;
    call.request.method = "GET";
    call.request.target = "/";
    call.request.headers.set(instance_headers::WantsDeclaration, "1");
    call.connectTimeout = FetchConnectTimeout;
    call.headTimeout = call.silenceTimeout = call.totalTimeout = FetchTimeout;
    call.maxBodyBytes = MaxPackedBytes;
    m_source = source;
    m_fetchEnd.expires_after(2 * FetchTimeout);
    struct FetchGuard
    {
        DeclarationExchange &exchange;
        ~FetchGuard() { exchange.endFetch(); }
    };
    const FetchGuard guard{*this};
    Result<HttpResponse> answer(Error::ConnectionRefused, "the instance is not known");
    if (address) {
        call.address = *address;
        answer = co_await m_client.request(std::move(call));
    }
    Result<std::string> content(answer.error(), answer.message());
    if (answer)
        content = unpackText(answer->body);
    if (content)
        m_peers.offerDeclaration(
            {parseNumber(answer->headers.find(instance_headers::Declaration)).value_or(0),
             *content});
    if (isBehind(number)) {
        const TimePoint now = RuntimeClock::now();
        std::erase_if(m_failedAt,
                      [&](const auto &entry) { return now - entry.second >= FailurePause; });
        m_failedAt[source] = now;
        logWarning("declaration_not_fetched",
                   {{"instance", source.value()},
                    {"wanted", number},
                    {"in_force", m_numberInForce()},
                    {"error", content ? "not newer" : errorText(content)}});
        co_return;
    }
    m_failedAt.erase(source);
    m_fetched.add();
    logInfo("declaration_fetched",
            {{"instance", source.value()}, {"former", former}, {"in_force", m_numberInForce()}});
}

void DeclarationExchange::endFetch()
{
    m_source.reset();
    m_fetchEnd.cancel();
}

HttpResponse DeclarationExchange::answer() const
{
    const RawDeclaration held = m_peers.heldDeclaration();
    HttpResponse response;
    response.status = 200;
    response.headers.set(instance_headers::Declaration, std::to_string(held.number));
    response.body = packText(held.content);
    return response;
}

} // namespace gentianramp
