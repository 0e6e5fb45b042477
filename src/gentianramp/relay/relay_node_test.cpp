#include "relay_test_fixture.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gentianramp/relay/relay_node.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace gentianramp::test;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

constexpr Duration Step = 10ms;
constexpr Duration StepRunTime = 3ms; ///< A paused clock is looked at every 2 ms at least.

/// A port of loopback that was free a moment ago.
std::uint16_t freePort()
{
    asio::io_context context;
    return tcp::acceptor(context, {asio::ip::address_v4::loopback(), 0}).local_endpoint().port();
}

/// Stops the runtime's clock for the time of a test.
class PausedClock
{
public:
    PausedClock() { RuntimeClock::pause(); }
    ~PausedClock() { RuntimeClock::resume(); }
    PausedClock(const PausedClock &) = delete;
    PausedClock &operator=(const PausedClock &) = delete;
};

/// An entry process without a declaration, which answers each request with 503.
class NodeFixture
{
public:
    explicit NodeFixture(std::optional<Duration> usageWindow = std::nullopt)
        : m_usageWindow(usageWindow)
        , m_node(m_context.get_executor(), options())
    {
        const Result<bool> started = m_node.start();
        cr_assert(static_cast<bool>(started), "%s", started.message().c_str());
    }

    void drain()
    {
        m_node.drain([this] { m_ended = true; });
    }

    tcp::socket connect() { return connectTo(m_callerPort); }
    /// To the server for requests that other instances hand over.
    tcp::socket connectAsInstance() { return connectTo(m_helperPort); }

    bool isListening()
    {
        tcp::socket socket(m_context);
        boost::system::error_code error;
        socket.connect({asio::ip::address_v4::loopback(), m_callerPort}, error);
        return !error;
    }

    void send(tcp::socket &socket, std::string_view bytes)
    {
        asio::write(socket, asio::buffer(bytes));
        m_context.restart();
        m_context.run_for(StepRunTime);
    }

    void advance(Duration time)
    {
        for (; time > Duration::zero(); time -= Step) {
            RuntimeClock::advance(Step);
            m_context.restart();
            m_context.run_for(StepRunTime);
        }
    }

    /// What arrived at a caller until its connection was closed, or so far.
    std::string received(tcp::socket &socket)
    {
        std::array<char, 4096> bytes{};
        boost::system::error_code error;
        socket.non_blocking(true);
        return {bytes.data(), socket.read_some(asio::buffer(bytes), error)};
    }

    /// The process may exit, which cuts all connections.
    bool ended() const { return m_ended; }

private:
    tcp::socket connectTo(std::uint16_t port)
    {
        tcp::socket socket(m_context);
        socket.connect({asio::ip::address_v4::loopback(), port});
        return socket;
    }

    RelayNodeOptions options()
    {
        RelayNodeOptions options;
        const HttpAddress anyPort{"127.0.0.1", 0};
        options.self = InstanceId("127.0.0.1:" + std::to_string(freePort()));
        options.peerListenAddress = options.self;
        options.readinessListenAddress = anyPort;
        options.helperListenAddress = {"127.0.0.1", m_helperPort};
        options.callerListenAddress = {"127.0.0.1", m_callerPort};
        options.readinessPath = "/ready";
        options.gracePeriod = 30s;
        options.parseDeclaration
            = [](const RawDeclaration &) { return Result<Declaration>(Error::Malformed); };
        options.relay.dataCentre = DataCentreId("a");
        options.relay.protocol = makeProtocol();
        options.relay.seed = 1;
        options.usageWindow = m_usageWindow;
        return options;
    }

    PausedClock m_clock;
    asio::io_context m_context{1};
    std::uint16_t m_callerPort = freePort();
    std::uint16_t m_helperPort = freePort();
    bool m_ended = false;
    std::optional<Duration> m_usageWindow;
    RelayNode m_node;
};

const std::string Head = "POST /p/x HTTP/1.1\r\nHost: host.example\r\nX-Id: 1\r\n";

} // namespace

// A request whose bytes were on their way was cut off without an answer: the process ended as soon
// as no handler was at work.
Test(relay_node, aRequestThatIsBeingReadIsAnsweredBeforeThePlannedEnd)
{
    NodeFixture fixture;
    tcp::socket inHead = fixture.connect();
    tcp::socket inBody = fixture.connect();
    tcp::socket idle = fixture.connect();
    fixture.send(inHead, Head);
    fixture.send(inBody, Head + "Content-Length: 4\r\n\r\nha");
    fixture.drain();
    for (int step = 0; step < 1000 && fixture.isListening(); ++step)
        fixture.advance(Step);
    cr_assert_not(fixture.isListening());
    fixture.send(idle, Head + "Content-Length: 0\r\n\r\n");
    fixture.advance(500ms);
    cr_assert_not(fixture.ended());
    fixture.send(inHead, "Content-Length: 0\r\n\r\n");
    fixture.send(inBody, "lf");
    cr_assert_not(fixture.ended());
    for (tcp::socket *socket : {&inHead, &inBody, &idle}) {
        const std::string answer = fixture.received(*socket);
        cr_assert(answer.starts_with("HTTP/1.1 503"), "%s", answer.c_str());
        cr_assert(answer.find("Connection: close") != std::string::npos);
    }
    fixture.advance(1s);
    cr_assert(fixture.ended());
}

// The first bytes may take a round trip to arrive on a connection that was accepted last.
Test(relay_node, aConnectionThatWasAcceptedLastIsAnsweredBeforeThePlannedEnd)
{
    NodeFixture fixture;
    fixture.drain();
    tcp::socket last = fixture.connect();
    for (int step = 0; step < 1000 && fixture.isListening(); ++step) {
        last = fixture.connect();
        fixture.advance(Step);
    }
    cr_assert_not(fixture.isListening());
    fixture.advance(100ms);
    cr_assert_not(fixture.ended());
    fixture.send(last, Head + "Content-Length: 0\r\n\r\n");
    const std::string answer = fixture.received(last);
    cr_assert(answer.starts_with("HTTP/1.1 503"), "%s", answer.c_str());
    cr_assert_not(fixture.ended());
}

// The process waited for its counts of usage to be sent, and then ended although a request had
// arrived meanwhile (hunt-aed7-7 on ppa-ave-grown, LOST).
Test(relay_node, nothingIsWaitedForBetweenTheLastLookAtRequestsAndTheEnd)
{
    NodeFixture fixture(5s);
    fixture.drain();
    for (int step = 0; step < 1000 && fixture.isListening(); ++step)
        fixture.advance(Step);
    // isListening() has connected to the process.
    fixture.advance(310ms);
    cr_assert(fixture.ended());
}

// The instance that handed the request over took the refusal for an answer to a request that may
// have run: it asked no other instance, and callers got a 502.
Test(relay_node, aRequestOfAnInstanceThatIsNotReadIsSaidNotToHaveRun)
{
    NodeFixture fixture;
    for (const std::string rest : {"Content-Length: 99999999\r\n\r\n", "X: y z\r\n: \r\n\r\n"}) {
        tcp::socket socket = fixture.connectAsInstance();
        fixture.send(socket, Head + rest);
        fixture.advance(100ms);
        const std::string answer = fixture.received(socket);
        cr_assert(answer.starts_with("HTTP/1.1 4"), "%s", answer.c_str());
        cr_assert(answer.find("Gentianramp-Verdict: NotRun") != std::string::npos, "%s",
                  answer.c_str());
    }
}
