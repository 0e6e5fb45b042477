#include "test_files.hpp"

#include <gentianramp/config/key_files.hpp>
#include <gentianramp/config/peer_reload.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

const std::string KeyA(40, 'a');
const std::string KeyB(40, 'b');
const std::string KeyC(40, 'c');
const InstanceId Self("entry-1");

const std::string Node = R"(instance: entry-1
data_centre: north
kind: entry
http_port: 8001
endpoint: tcp://127.0.0.1:7001
key_folder: .
operator_keys_file: operators.pub
peers:
  - {instance: entry-2, data_centre: north, kind: entry, endpoint: "tcp://127.0.0.1:7002"}
)";

std::filesystem::path writeSettings(const ScratchFolder &folder)
{
    cr_assert(static_cast<bool>(writeKeyFiles(folder.path(), "entry-1", {KeyA, KeyB})));
    folder.write("operators.pub", KeyC + "\n");
    folder.write("entry-2.pub", KeyB + "\n" + KeyC + "\n");
    return folder.write("node.yaml", Node);
}

} // namespace

Test(PeerReload, ReadsAllKeysOfAPeer)
{
    const ScratchFolder folder("reload");
    const auto reloaded = reloadPeers(writeSettings(folder), Self);
    cr_assert(reloaded.has_value());
    cr_assert_eq(reloaded->peers.size(), 1U);
    cr_assert(reloaded->peers[0].publicKey == KeyB);
    cr_assert(reloaded->peers[0].furtherKeys == std::vector<std::string>{KeyC});
    cr_assert(reloaded->operatorKeys == std::vector<std::string>{KeyC});
}

Test(PeerReload, ReturnsNothingOnAnyError)
{
    const ScratchFolder folder("reload-errors");
    const auto file = writeSettings(folder);
    cr_assert_not(reloadPeers(file, InstanceId("entry-9")).has_value());
    folder.write("operators.pub", "short\n");
    cr_assert_not(reloadPeers(file, Self).has_value());
    folder.write("operators.pub", KeyC + "\n");
    folder.write("entry-2.pub", KeyB + "\nshort\n");
    cr_assert_not(reloadPeers(file, Self).has_value());
    folder.write("entry-2.pub", "");
    cr_assert_not(reloadPeers(file, Self).has_value());
    folder.write("entry-2.pub", KeyB + "\n");
    cr_assert(reloadPeers(file, Self).has_value());
}
