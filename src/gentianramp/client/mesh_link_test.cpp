#include <atomic>
#include <gentianramp/client/mesh_link.hpp>
#include <gentianramp/wire/mesh.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

std::string freeEndpoint()
{
    const int handle = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    cr_assert_eq(bind(handle, reinterpret_cast<sockaddr *>(&address), size), 0);
    getsockname(handle, reinterpret_cast<sockaddr *>(&address), &size);
    close(handle);
    return "tcp://127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

/// A control process that accepts every apply as revision 5.
class FakeControl
{
public:
    FakeControl(std::string endpoint, const CurveKeyPair &keys, std::string operatorKey)
        : m_mesh({.instance = InstanceId("c1"),
                  .incarnation = Incarnation(1),
                  .endpoint = std::move(endpoint),
                  .keys = keys,
                  .operatorKeys = {std::move(operatorKey)}},
                 [this](const ReceivedMessage &message) { answer(message); })
    {
        m_started.store(true, std::memory_order_release);
    }

private:
    void answer(const ReceivedMessage &message)
    {
        proto::OperatorRequest request;
        if (!m_started.load(std::memory_order_acquire) || message.kind != PayloadKind::Operator
            || !request.ParseFromString(message.payload))
            return;
        proto::OperatorAnswer answer;
        answer.set_request_id(request.request_id());
        answer.set_answered_by("c1");
        answer.mutable_apply()->set_revision(5);
        m_mesh.reply(message.replyRoute, PayloadKind::OperatorAnswer, answer.SerializeAsString(),
                     5s);
    }

    std::atomic<bool> m_started{false};
    Mesh m_mesh;
};

CallResult applyThroughMesh(const CurveKeyPair &operatorKeys, const std::string &knownOperatorKey,
                            Duration commandTimeout)
{
    const std::string endpoint = freeEndpoint();
    const CurveKeyPair controlKeys = makeCurveKeyPair();
    const FakeControl control(endpoint, controlKeys, knownOperatorKey);
    OperatorSettings settings;
    settings.name = "eva";
    settings.controls = {{InstanceId("c1"), DataCentreId("north"), ProcessKind::Control, endpoint,
                          controlKeys.publicKey, true}};
    OperatorClient client({.author = "eva",
                           .controls = {InstanceId("c1")},
                           .commandTimeout = commandTimeout,
                           .requestPrefix = "t"},
                          makeMeshLink(settings, {operatorKeys.publicKey, operatorKeys.secretKey}));
    proto::OperatorRequest request;
    request.mutable_apply()->set_command_id("command-1");
    return client.call(request);
}

} // namespace

Test(MeshLink, ReachesAControlProcess)
{
    const CurveKeyPair keys = makeCurveKeyPair();
    const CallResult result = applyThroughMesh(keys, keys.publicKey, 20s);
    cr_assert(result.outcome == CallOutcome::Answered, "%s", result.message.c_str());
    cr_assert_eq(result.answer.apply().revision(), 5U);
}

Test(MeshLink, OperatorWithAnUnknownKeyGetsNoAnswer)
{
    const CallResult result
        = applyThroughMesh(makeCurveKeyPair(), makeCurveKeyPair().publicKey, 1s);
    cr_assert(result.outcome != CallOutcome::Answered);
}
