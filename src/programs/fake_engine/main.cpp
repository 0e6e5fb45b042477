#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <gentianramp/core/log.hpp>
#include <gentianramp/fakes/fake_backend.hpp>
#include <iostream>

// A backend server for tests and measures: an engine or a plain service on one port.

namespace {

using namespace gentianramp;
namespace po = boost::program_options;

constexpr int ExitUsage = 2;
constexpr int ExitUnavailable = 4;

Duration milliseconds(std::uint32_t value)
{
    return std::chrono::milliseconds(value);
}

EngineRole parseRole(const std::string &name)
{
    if (name == "prefill")
        return EngineRole::Prefill;
    if (name == "decode")
        return EngineRole::Decode;
    if (name == "mixed")
        return EngineRole::Mixed;
    throw po::error("--role: expected mixed, prefill or decode, not '" + name + "'");
}

ServiceKind parseKind(const std::string &name)
{
    if (name == "engine")
        return ServiceKind::Model;
    if (name == "service")
        return ServiceKind::Plain;
    throw po::error("--kind: expected engine or service, not '" + name + "'");
}

po::options_description describeOptions()
{
    const EngineModelOptions engine;
    po::options_description description("gentianramp-fake-engine: a backend server for tests");
    auto add = description.add_options();
    add("help", "print this text");
    add("version", "print the version");
    add("id", po::value<std::string>()->default_value("engine-1"), "name of the backend server");
    add("kind", po::value<std::string>()->default_value("engine"), "engine or service");
    add("host", po::value<std::string>()->default_value("127.0.0.1"), "IP number to listen on");
    add("port", po::value<std::uint16_t>()->default_value(0), "port; 0 takes a free one");
    add("model", po::value<std::string>()->default_value("model-1"), "model loaded at start");
    add("model-version", po::value<std::string>()->default_value("1"), "its version");
    add("role", po::value<std::string>()->default_value("mixed"), "mixed, prefill or decode");
    add("checks-fencing", po::bool_switch(), "refuse orders under an old fencing number");
    add("prefill-rate", po::value<double>()->default_value(engine.prefillTokensPerSecond),
        "prompt tokens a second");
    add("decode-rate", po::value<double>()->default_value(engine.decodeTokensPerSecond),
        "output tokens a second over all streams");
    add("stream-rate", po::value<double>()->default_value(engine.streamTokensPerSecond),
        "output tokens a second of one stream");
    add("slots", po::value<std::uint32_t>()->default_value(engine.slots), "requests in the batch");
    add("cache-tokens", po::value<std::uint64_t>()->default_value(engine.prefixCacheTokens),
        "prefix cache");
    add("role-change-ms", po::value<std::uint32_t>()->default_value(4000), "unavailable that long");
    add("report-lag-ms", po::value<std::uint32_t>()->default_value(1000), "age of load reports");
    add("load-ms", po::value<std::uint32_t>()->default_value(2000), "time to load a model");
    add("service-ms", po::value<std::uint32_t>()->default_value(20), "time of a plain call");
    add("record-file", po::value<std::string>()->default_value(""),
        "keeps what was run over a crash");
    add("seed", po::value<std::uint64_t>()->default_value(1), "of lost cache events");
    return description;
}

FakeBackendOptions readOptions(const po::variables_map &values)
{
    FakeBackendOptions options;
    options.id = BackendId(values["id"].as<std::string>());
    options.kind = parseKind(values["kind"].as<std::string>());
    options.host = values["host"].as<std::string>();
    options.port = values["port"].as<std::uint16_t>();
    if (options.kind == ServiceKind::Model)
        options.model = values["model"].as<std::string>();
    options.version = values["model-version"].as<std::string>();
    options.checksFencing = values["checks-fencing"].as<bool>();
    options.loadTime = milliseconds(values["load-ms"].as<std::uint32_t>());
    options.serviceTime = milliseconds(values["service-ms"].as<std::uint32_t>());
    options.recordFile = values["record-file"].as<std::string>();
    EngineModelOptions &engine = options.engine;
    engine.role = parseRole(values["role"].as<std::string>());
    engine.prefillTokensPerSecond = values["prefill-rate"].as<double>();
    engine.decodeTokensPerSecond = values["decode-rate"].as<double>();
    engine.streamTokensPerSecond = values["stream-rate"].as<double>();
    engine.slots = values["slots"].as<std::uint32_t>();
    engine.prefixCacheTokens = values["cache-tokens"].as<std::uint64_t>();
    engine.roleChangeTime = milliseconds(values["role-change-ms"].as<std::uint32_t>());
    engine.reportLag = milliseconds(values["report-lag-ms"].as<std::uint32_t>());
    engine.seed = values["seed"].as<std::uint64_t>();
    return options;
}

int serve(const FakeBackendOptions &options)
{
    boost::asio::io_context context(1);
    FakeBackend backend(context.get_executor(), options);
    const Result<std::uint16_t> port = backend.start();
    if (!port) {
        logError("cannot_listen", {{"port", options.port}, {"error", port.message()}});
        return ExitUnavailable;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) {
        backend.stop();
        context.stop();
    });
    std::cout << "listening " << *port << std::endl;
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const po::options_description description = describeOptions();
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help")) {
            std::cout << description;
            return 0;
        }
        if (values.count("version")) {
            std::cout << "gentianramp-fake-engine " GENTIANRAMP_VERSION "\n";
            return 0;
        }
        po::notify(values);
        startLogging("gentianramp-fake-engine");
        return serve(readOptions(values));
    } catch (const po::error &problem) {
        std::cerr << "gentianramp-fake-engine: " << problem.what() << "\n";
        return ExitUsage;
    }
}
