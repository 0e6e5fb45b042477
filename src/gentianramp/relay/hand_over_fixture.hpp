#pragma once

#include "relay_test_fixture.hpp"

namespace gentianramp::test {

inline Declaration makeDeclaration(Route route)
{
    route.name = "r";
    route.host = "host.example";
    route.pathPrefix = "/p/";
    route.timeout = std::chrono::seconds(3);
    route.shares = {{"s", 1}};
    Declaration declaration;
    declaration.number = 1;
    declaration.routes = {route};
    declaration.services = {{.name = "s", .healthPath = "/health"}};
    return declaration;
}

/// Declarations by their numbers; their content in the registry's form is the number.
class StoredDeclarations
{
public:
    void add(const Declaration &declaration) { m_declarations[declaration.number] = declaration; }

    /// Hooks by which @p relay fetches declarations and hands them out.
    void connect(PeerHooks &hooks, const std::function<RelayService &()> &relay)
    {
        hooks.heldDeclaration = [relay] {
            const std::uint64_t number = relay().declarationNumber();
            return RawDeclaration{number, std::to_string(number)};
        };
        hooks.offerDeclaration = [this, relay](const RawDeclaration &offered) {
            const auto found = m_declarations.find(offered.number);
            if (found != m_declarations.end() && offered.content == std::to_string(offered.number))
                relay().publish(found->second);
        };
        hooks.helperAddress = [this](const InstanceId &instance) {
            const auto found = addresses.find(instance);
            return found != addresses.end() ? std::optional(found->second) : std::nullopt;
        };
    }

    /// Where instances take requests over, as far as the others know.
    std::map<InstanceId, HttpAddress> addresses;

private:
    std::map<std::uint64_t, Declaration> m_declarations;
};

/// An instance that takes requests over.
class Helper
{
public:
    /// @p handler replaces the relay's if it is set.
    Helper(asio::io_context &context, const std::string &name, StoredDeclarations &stored,
           const HttpHandler &handler = {})
        : m_name(name)
        , m_stored(stored)
        , m_relay(context.get_executor(), options(name))
        , m_server(context.get_executor(), {}, counted(handler ? handler : m_relay.helperHandler()))
        , m_port(m_server.start().value())
    { }

    void publish(const BackendListing &listing, const Route &route,
                 std::optional<std::vector<Customer>> customers = std::nullopt)
    {
        m_relay.publish(listing);
        Declaration declaration = makeDeclaration(route);
        declaration.customers = std::move(customers);
        m_relay.publish(std::move(declaration));
    }

    void publish(const BackendListing &listing, const Declaration &declaration)
    {
        m_relay.publish(listing);
        m_relay.publish(declaration);
    }

    std::uint64_t declarationNumber() const { return m_relay.declarationNumber(); }
    HttpHandler relayHandler() { return m_relay.helperHandler(); }
    RelayHelper address() const { return {InstanceId(m_name), {"127.0.0.1", m_port}}; }
    int asked() const { return m_asked; }
    int taken() const { return m_taken; }
    /// How often it was asked for its declaration.
    int fetched() const { return m_fetched; }

private:
    RelayOptions options(const std::string &name)
    {
        RelayOptions options{.dataCentre = DataCentreId("a"),
                             .protocol = makeProtocol(),
                             .seed = 2,
                             .instance = InstanceId(name)};
        options.peers.helpers = [this](const std::string &, std::uint64_t) {
            ++m_asked;
            return std::vector<RelayHelper>();
        };
        m_stored.connect(options.peers, [this]() -> RelayService & { return m_relay; });
        return options;
    }

    HttpHandler counted(HttpHandler handler)
    {
        return [this, handler = std::move(handler)](HttpRequest request, ResponseWriter &writer) {
            ++(request.headers.contains("Gentianramp-Wants-Declaration") ? m_fetched : m_taken);
            return handler(std::move(request), writer);
        };
    }

    std::string m_name;
    StoredDeclarations &m_stored;
    int m_taken = 0;
    int m_fetched = 0;
    int m_asked = 0; ///< How often it looked for a helper itself.
    RelayService m_relay;
    HttpServer m_server;
    std::uint16_t m_port;
};

/// An instance that reaches no server, and others that may.
struct CutInstance
{
    explicit CutInstance(RetryBounds retries = {})
        : fixture(retries, {}, hooks())
    { }

    PeerHooks hooks()
    {
        PeerHooks hooks;
        hooks.helpers = [this](const std::string &, std::uint64_t) { return helpers; };
        hooks.noteHelperFailed = [this](const InstanceId &, const std::string &) { ++failures; };
        stored.connect(hooks, [this]() -> RelayService & { return fixture.relay; });
        return hooks;
    }

    Helper &addHelper(const Route &route, const HttpHandler &handler = {})
    {
        auto helper = std::make_unique<Helper>(
            fixture.context(), "helper-" + std::to_string(owned.size()), stored, handler);
        helper->publish(fixture.listing(), route);
        helpers.push_back(helper->address());
        owned.push_back(std::move(helper));
        return *owned.back();
    }

    void cutOff(const Route &route)
    {
        fixture.declare(route);
        fixture.cutOff();
    }

    std::vector<RelayHelper> helpers;
    int failures = 0;
    StoredDeclarations stored;
    RelayFixture fixture;
    std::vector<std::unique_ptr<Helper>> owned;
};

} // namespace gentianramp::test
