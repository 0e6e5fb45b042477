#include <gentianramp/registry/registry_node.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <fstream>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/wire/mesh.hpp>
#include <iterator>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

#include <netinet/in.h>

#include "gentianramp/registry/generated/registry.pb.h"
#include "gentianramp/registry/generated/stream_origin.pb.h"

#include <criterion/criterion.h>

using namespace gentianramp;
namespace asio = boost::asio;
namespace fs = std::filesystem;

namespace {

constexpr int MaxAttempts = 200;
constexpr Duration AttemptInterval = std::chrono::milliseconds(50);

InstanceId freeAddress()
{
    const int handle = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    cr_assert_eq(bind(handle, reinterpret_cast<sockaddr *>(&address), size), 0);
    getsockname(handle, reinterpret_cast<sockaddr *>(&address), &size);
    close(handle);
    return InstanceId("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
}

/// A folder that is removed with the object.
struct TemporaryFolder
{
    explicit TemporaryFolder(const std::string &name = "folder")
        : path(fs::temp_directory_path()
               / ("registry-node-" + std::to_string(getpid()) + "-" + name))
    {
        fs::create_directories(path);
    }
    ~TemporaryFolder() { fs::remove_all(path); }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    fs::path path;
};

RegistryOptions optionsOf(const InstanceId &self, const fs::path &folder)
{
    RegistryOptions options;
    options.self = self;
    options.dataCentre = DataCentreId("a");
    options.dataFolder = folder;
    options.listing
        = [](std::string) -> asio::awaitable<Result<ListingPage>> { co_return ListingPage{}; };
    return options;
}

RegistryOptions singleVoter(const fs::path &folder)
{
    RegistryOptions options = optionsOf(freeAddress(), folder);
    options.seeds = {options.self};
    options.firstStart = true;
    options.seats = 1;
    return options;
}

asio::awaitable<bool> declareRepeatedly(RegistryNode &node, int attempts)
{
    for (int attempt = 0; attempt < attempts; ++attempt) {
        RawDeclaration declaration{1, "content"};
        const bool accepted = co_await node.declare(std::move(declaration));
        if (accepted)
            co_return true;
        co_await sleepFor(AttemptInterval);
    }
    co_return false;
}

asio::awaitable<void> declareOnce(RegistryNode &node, bool &declared, asio::io_context &context)
{
    declared = co_await declareRepeatedly(node, MaxAttempts);
    context.stop();
}

/// Whether a declaration was accepted before and after an obstacle was removed.
struct Declared
{
    bool before = true;
    bool after = false;
};

asio::awaitable<void> declareAroundRemoval(RegistryNode &node, fs::path obstacle, Declared &result,
                                           asio::io_context &context)
{
    result.before = co_await declareRepeatedly(node, 3);
    fs::remove(obstacle);
    result.after = co_await declareRepeatedly(node, MaxAttempts);
    context.stop();
}

/// True when a file in @p folder contains @p text.
bool holds(const fs::path &folder, const std::string &text)
{
    for (const auto &item : fs::directory_iterator(folder)) {
        std::ifstream file(item.path(), std::ios::binary);
        const std::string bytes{std::istreambuf_iterator<char>(file), {}};
        if (bytes.find(text) != std::string::npos)
            return true;
    }
    return false;
}

/// Declares at @p voter, then waits until @p other answers a read and holds the declaration in
/// @p folder.
asio::awaitable<void> declareAndRead(RegistryNode &voter, RegistryNode &other, fs::path folder,
                                     std::optional<RawDeclaration> &read, asio::io_context &context)
{
    const bool declared = co_await declareRepeatedly(voter, MaxAttempts);
    for (int attempt = 0; declared && attempt < MaxAttempts; ++attempt) {
        read = co_await other.readNewest();
        if (read && holds(folder, read->content))
            break;
        co_await sleepFor(AttemptInterval);
    }
    context.stop();
}

/// Asks registry processes for the feed like an entry process.
class FeedClient
{
public:
    explicit FeedClient(asio::io_context &context)
        : m_mesh(options(), [this, &context](ReceivedMessage message) {
            asio::post(context, [this, message = std::move(message)] {
                proto::RegistryMessage answer;
                if (!answer.ParseFromString(message.payload))
                    return;
                if (answer.has_declare_answer())
                    m_accepted = answer.declare_answer().accepted();
                else if (answer.has_peer())
                    m_peerAnswer.ParseFromString(answer.peer());
                else
                    m_answers[message.sender] = answer.feed_answer();
            });
        })
    { }

    void ask(const InstanceId &node, const proto::FeedRequest &request)
    {
        proto::RegistryMessage message;
        *message.mutable_feed() = request;
        m_mesh.send(node, PayloadKind::Registry, message.SerializeAsString(),
                    std::chrono::seconds(1));
    }

    void forward(const InstanceId &node, const proto::DeclareRequest &request)
    {
        proto::RegistryMessage message;
        *message.mutable_declare() = request;
        m_mesh.send(node, PayloadKind::Registry, message.SerializeAsString(),
                    std::chrono::seconds(1));
    }

    /// The last answer to forward().
    std::optional<bool> accepted() const { return m_accepted; }

    void send(const InstanceId &node, const proto::PeerMessage &peerMessage)
    {
        proto::RegistryMessage message;
        message.set_peer(peerMessage.SerializeAsString());
        m_mesh.send(node, PayloadKind::Registry, message.SerializeAsString(),
                    std::chrono::seconds(1));
    }

    const proto::PeerMessage &peerAnswer() const { return m_peerAnswer; }
    const proto::FeedAnswer &answerOf(const InstanceId &node) { return m_answers[node]; }

private:
    static MeshOptions options()
    {
        MeshOptions options;
        options.instance = freeAddress();
        options.curveEnabled = false;
        return options;
    }

    std::map<InstanceId, proto::FeedAnswer> m_answers;
    proto::PeerMessage m_peerAnswer;
    std::optional<bool> m_accepted;
    Mesh m_mesh;
};

/// Forwards @p request to @p leader, as a process without its content does, until it is answered.
asio::awaitable<void> forward(FeedClient &client, InstanceId leader, proto::DeclareRequest request,
                              std::optional<bool> &accepted, asio::io_context &context)
{
    for (int attempt = 0; attempt < MaxAttempts && !accepted; ++attempt) {
        client.forward(leader, request);
        co_await sleepFor(AttemptInterval);
        accepted = client.accepted();
    }
    context.stop();
}

/// Reports a crash to @p reportedTo until @p asked answers with it.
asio::awaitable<void> reportCrash(FeedClient &client, InstanceId reportedTo, InstanceId asked,
                                  bool &arrived, asio::io_context &context)
{
    proto::FeedRequest report;
    proto::ServerCrash &crash = *report.mutable_crashes()->add_crashes();
    crash.set_server("engine");
    crash.set_service("s");
    crash.add_parts()->set_part(7);
    for (int attempt = 0; attempt < MaxAttempts && !arrived; ++attempt) {
        // One report may be lost while connections are established.
        client.ask(reportedTo, report);
        client.ask(asked, {});
        co_await sleepFor(AttemptInterval);
        for (const proto::ServerCrash &known : client.answerOf(asked).crashes().crashes())
            arrived = known.server() == "engine" && known.parts(0).part() == 7;
    }
    context.stop();
}

/// Two entry processes ask different registry processes until the first one is told of the second.
asio::awaitable<void> askForPeers(FeedClient &first, FeedClient &second, InstanceId firstAsks,
                                  InstanceId secondAsks, bool &told, asio::io_context &context)
{
    proto::FeedRequest request;
    request.set_data_centre("a");
    proto::FeedRequest cutOff = request;
    cutOff.set_cut_off(true);
    for (int attempt = 0; attempt < MaxAttempts && !told; ++attempt) {
        first.ask(firstAsks, request);
        second.ask(secondAsks, cutOff);
        co_await sleepFor(AttemptInterval);
        for (const proto::EntryProcess &peer : first.answerOf(firstAsks).peers().processes())
            told = told || peer.cut_off();
    }
    context.stop();
}

asio::awaitable<Result<ListingPage>> listOneServer(std::string)
{
    ListingPage page;
    page.servers.push_back({.id = BackendId("i-1"), .service = "lm"});
    page.servers.back().softwareVersion = "v2";
    co_return page;
}

/// Leaves a record of a stream at @p node, until @p node answers with it and with the versions that
/// it saw listed.
asio::awaitable<void> leaveRecord(FeedClient &client, InstanceId node, bool &answered,
                                  asio::io_context &context)
{
    proto::PeerMessage record;
    record.mutable_record()->set_attempt("began");
    record.mutable_record()->set_service("lm");
    record.mutable_record()->set_version("v1");
    proto::PeerMessage question;
    question.mutable_question()->set_attempt("began");
    proto::FeedRequest request;
    request.set_wants_versions(true);
    for (int attempt = 0; attempt < MaxAttempts && !answered; ++attempt) {
        client.send(node, record);
        client.send(node, question);
        client.ask(node, request);
        co_await sleepFor(AttemptInterval);
        const proto::FeedAnswer &feed = client.answerOf(node);
        answered = client.peerAnswer().evidence().recorded().version() == "v1"
            && feed.versions_known_ms() > 0 && feed.versions_size() == 1
            && feed.versions(0).version() == "v2";
    }
    context.stop();
}

/// Times at which a duty asked whether it may start.
struct DutyStarts
{
    bool atOnce = false;
    bool afterSuspension = false;
    int calls = 0;
};

/// Asks at once, and again after a time as a suspended process would.
asio::awaitable<DutyAnswer> askTwice(MayStartHook mayStart, DutyStarts &starts,
                                     asio::io_context &context)
{
    ++starts.calls;
    starts.atOnce = starts.atOnce || mayStart();
    co_await sleepFor(DutyPermit::MaxAge + AttemptInterval);
    starts.afterSuspension = starts.afterSuspension || mayStart();
    if (starts.atOnce || starts.calls == MaxAttempts)
        context.stop();
    co_return DutyAnswer::Unanswered;
}

} // namespace

// After a loss of all entry processes, no process knew which version began a stream, nor which ones
// were listed.
Test(registry_node, keepsRecordsOfStreamsAndTheVersionsThatWereListed)
{
    const TemporaryFolder folder;
    RegistryOptions options = singleVoter(folder.path);
    options.listing = listOneServer;
    asio::io_context context;
    RegistryNode node(context.get_executor(), options);
    node.start();
    FeedClient client(context);
    bool answered = false;
    asio::co_spawn(context, leaveRecord(client, options.self, answered, context), asio::detached);
    context.run();
    cr_assert(answered);
}

// A process that had lost its disk was heard, but the connections to it did not open for seconds,
// so that it was offered no seat. The next loss of a disk left one voter of three.
Test(registry_node, processThatNobodyCanConnectToTakesAVacantSeat)
{
    const TemporaryFolder first("first");
    const TemporaryFolder second("second");
    const TemporaryFolder unreachable("unreachable");
    const std::vector<InstanceId> founders{freeAddress(), freeAddress()};
    asio::io_context context;
    RegistryOptions options = optionsOf(founders[0], first.path);
    options.seeds = founders;
    options.firstStart = true;
    RegistryNode firstNode(context.get_executor(), options);
    options = optionsOf(founders[1], second.path);
    options.seeds = founders;
    options.firstStart = true;
    RegistryNode secondNode(context.get_executor(), options);
    options = optionsOf(freeAddress(), unreachable.path);
    options.seeds = founders;
    options.listenAddress = freeAddress();
    RegistryNode unreachableNode(context.get_executor(), options);
    firstNode.start();
    secondNode.start();
    unreachableNode.start();
    std::optional<RawDeclaration> read;
    asio::co_spawn(context,
                   declareAndRead(firstNode, unreachableNode, unreachable.path, read, context),
                   asio::detached);
    context.run();
    cr_assert(read.has_value());
    cr_assert_eq(read->content, "content");
    cr_assert(holds(unreachable.path, "content"), "it does not get the log");
}

// A founder whose disk was full at the first start stayed without its seat for good.
Test(registry_node, founderTakesItsSeatOnceItsFolderCanBeWritten)
{
    const TemporaryFolder folder;
    // The folder can't be emptied, so that it can't be prepared.
    const fs::path obstacle = folder.path / "obstacle";
    fs::create_directory(obstacle);
    asio::io_context context;
    Declared result;
    RegistryNode node(context.get_executor(), singleVoter(folder.path));
    node.start();
    asio::co_spawn(context, declareAroundRemoval(node, obstacle, result, context), asio::detached);
    context.run();
    cr_assert_not(result.before);
    cr_assert(result.after);
}

// Requests with the part come at any instance, which may ask any registry process.
Test(registry_node, aCrashThatOneProcessIsToldOfReachesTheOthers)
{
    const TemporaryFolder first("first");
    const TemporaryFolder second("second");
    const std::vector<InstanceId> founders{freeAddress(), freeAddress()};
    asio::io_context context;
    RegistryOptions options = optionsOf(founders[0], first.path);
    options.seeds = founders;
    options.firstStart = true;
    RegistryNode firstNode(context.get_executor(), options);
    options = optionsOf(founders[1], second.path);
    options.seeds = founders;
    options.firstStart = true;
    RegistryNode secondNode(context.get_executor(), options);
    firstNode.start();
    secondNode.start();
    FeedClient client(context);
    bool arrived = false;
    asio::co_spawn(context, reportCrash(client, founders[0], founders[1], arrived, context),
                   asio::detached);
    context.run();
    cr_assert(arrived);
}

Test(registry_node, entryProcessesThatAskDifferentProcessesLearnOfEachOther)
{
    const TemporaryFolder first("first");
    const TemporaryFolder second("second");
    const std::vector<InstanceId> founders{freeAddress(), freeAddress()};
    asio::io_context context;
    RegistryOptions options = optionsOf(founders[0], first.path);
    options.seeds = founders;
    options.firstStart = true;
    RegistryNode firstNode(context.get_executor(), options);
    options = optionsOf(founders[1], second.path);
    options.seeds = founders;
    options.firstStart = true;
    RegistryNode secondNode(context.get_executor(), options);
    firstNode.start();
    secondNode.start();
    FeedClient oneEntry(context);
    FeedClient otherEntry(context);
    bool told = false;
    asio::co_spawn(context,
                   askForPeers(oneEntry, otherEntry, founders[0], founders[1], told, context),
                   asio::detached);
    context.run();
    cr_assert(told);
}

// A process that was suspended between the confirmation of its leadership and the call took itself
// for the leader, and called after its successor.
Test(registry_node, aDutyIsNotStartedLongAfterTheLeadershipWasConfirmed)
{
    const TemporaryFolder folder;
    asio::io_context context;
    DutyStarts starts;
    RegistryOptions options = singleVoter(folder.path);
    options.successorOrderDelay = Duration::zero();
    options.usage = UsageReporterOptions{.window = std::chrono::milliseconds(200),
                                         .lateness = std::chrono::milliseconds(400)};
    options.encodeUsage = [](std::uint64_t, const UsageCounts &) { return std::string("{}"); };
    options.callDuty = [&](const DutyCall &, std::uint64_t, MayStartHook mayStart) {
        return askTwice(std::move(mayStart), starts, context);
    };
    RegistryNode node(context.get_executor(), options);
    node.start();
    context.run_for(std::chrono::seconds(60));
    cr_assert(starts.atOnce, "%d calls", starts.calls);
    cr_assert_not(starts.afterSuspension);
}

// A process of an earlier build beside this one accepts what this one refuses, and forwards it.
Test(registry_node, anInvalidDeclarationThatIsForwardedIsRefused)
{
    const TemporaryFolder folder;
    RegistryOptions options = singleVoter(folder.path);
    options.parseDeclaration = [](const RawDeclaration &stored) -> Result<Declaration> {
        if (stored.content != "sound")
            return {Error::Malformed, "Routes: expected a list, found null"};
        return Declaration{.number = 8};
    };
    asio::io_context context;
    RegistryNode node(context.get_executor(), options);
    node.start();
    bool declared = false;
    asio::co_spawn(context, declareOnce(node, declared, context), asio::detached);
    context.run();
    cr_assert(declared);
    proto::DeclareRequest request;
    for (const auto &[number, content, expected] :
         {std::tuple(8, "null in place of the routes", false), std::tuple(9, "sound", false),
          std::tuple(8, "sound", true)}) {
        FeedClient client(context);
        request.set_number(number);
        request.set_content(content);
        std::optional<bool> accepted;
        context.restart();
        asio::co_spawn(context, forward(client, options.self, request, accepted, context),
                       asio::detached);
        context.run();
        cr_assert(accepted == expected, "%d %s", number, content);
    }
}
