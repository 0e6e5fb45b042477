#include "test_files.hpp"

#include <gentianramp/config/key_files.hpp>
#include <gentianramp/config/settings_file.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

const std::string ValidNode = R"(instance: control-1
data_centre: north
kind: control
http_port: 8001
endpoint: tcp://127.0.0.1:7001
key_folder: keys
data_folder: data/control-1
voter: true
peers_file: peers.yaml
configuration_file: declared/base.yaml
overlay_files: [declared/north.yaml]
)";

const std::string ValidPeers = R"(peers:
  - {instance: control-1, data_centre: north, kind: control, endpoint: "tcp://127.0.0.1:7001", voter: true}
  - {instance: entry-1, data_centre: north, kind: entry, endpoint: "tcp://127.0.0.1:7002"}
)";

const std::string KeyA(40, 'a');
const std::string KeyB(40, 'b');

Validated<NodeSettings> load(const ScratchFolder &folder, const std::string &node,
                             const std::string &peers, KeyFilePolicy keyFiles = KeyFilePolicy::Skip)
{
    folder.write("peers.yaml", peers);
    return loadNodeSettings(folder.write("node.yaml", node), keyFiles);
}

std::string onlyError(const std::string &node, const std::string &peers)
{
    const ScratchFolder folder("node-error");
    const auto loaded = load(folder, node, peers);
    cr_assert_eq(loaded.errors().size(), 1U, "%s", loaded.message().c_str());
    return toString(loaded.errors().front());
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(NodeSettings, ReadsPathsFromTheFolderOfTheFile)
{
    const ScratchFolder folder("node");
    const auto loaded = load(folder, ValidNode, ValidPeers);
    cr_assert(static_cast<bool>(loaded), "%s", loaded.message().c_str());
    cr_assert(loaded->dataFolder == folder.path() / "data/control-1");
    cr_assert(loaded->secretKeyFile == folder.path() / "keys/control-1.key");
    cr_assert(loaded->overlayFiles.front() == folder.path() / "declared/north.yaml");
    cr_assert_eq(loaded->peers.size(), 1U);
    cr_assert(loaded->peers[0].instance == InstanceId("entry-1"));
}

Test(NodeSettings, LoadsOnceTheKeyFilesExist)
{
    const ScratchFolder folder("node-keys");
    const auto before = load(folder, ValidNode, ValidPeers, KeyFilePolicy::Read);
    cr_assert_eq(before.errors().size(), 2U, "%s", before.message().c_str());
    cr_assert(static_cast<bool>(writeKeyFiles(folder.path() / "keys", "control-1", {KeyA, KeyB})));
    cr_assert(static_cast<bool>(writeKeyFiles(folder.path() / "keys", "entry-1", {KeyB, KeyA})));
    const auto after = load(folder, ValidNode, ValidPeers, KeyFilePolicy::Read);
    cr_assert(static_cast<bool>(after), "%s", after.message().c_str());
    cr_assert(after->peers[0].publicKey == KeyB);
}

Test(NodeSettings, RefusesInconsistentSettings)
{
    cr_assert(
        contains(onlyError(replaced(ValidNode, "data_folder: data/control-1\n", ""), ValidPeers),
                 "data_folder: key is missing"));
    cr_assert(
        contains(onlyError(replaced(ValidNode, "north", "south"), ValidPeers), "expected 'north'"));
    cr_assert(
        contains(onlyError(ValidNode, replaced(ValidPeers, ":7002\"}", ":7002\", voter: true}")),
                 "only on control processes"));
    cr_assert(contains(onlyError(replaced(ValidNode, "tcp://", "udp://"), ValidPeers),
                       "tcp://127.0.0.1:7001"));
}

Test(NodeSettings, MissingAndUnknownKeysAreBothListed)
{
    const ScratchFolder folder("node-both");
    const auto loaded = load(folder, replaced(ValidNode, "http_port", "http_prot"), ValidPeers);
    cr_assert_eq(loaded.errors().size(), 2U);
    cr_assert(contains(loaded.message(), "nearest known one is 'http_port'"));
    cr_assert(contains(loaded.message(), "http_port: key is missing"));
}

Test(NodeSettings, EvenNumberOfVotersIsRefused)
{
    const std::string second = "  - {instance: control-2, data_centre: south, kind: control, "
                               "endpoint: \"tcp://127.0.0.1:7003\", voter: true}\n";
    cr_assert(contains(onlyError(ValidNode, ValidPeers + second), "1, 3, 5 or 7 voters"));
}

Test(KeyFiles, RefuseInvalidKeys)
{
    const ScratchFolder folder("keys");
    cr_assert(isCurveKey(KeyA));
    cr_assert_not(isCurveKey(KeyA + "a"));
    cr_assert_not(isCurveKey(std::string(40, '~')));
    cr_assert_not(static_cast<bool>(readPublicKeyFile(folder.path() / "none.pub")));
    cr_assert_not(static_cast<bool>(readPublicKeyFile(folder.write("a.pub", "short\n"))));
    cr_assert_not(static_cast<bool>(readPublicKeyFile(folder.write("b.pub", KeyA + "\n" + KeyB))));
    const auto keys = readOperatorKeysFile(
        folder.write("operators.pub", "# operators\n" + KeyA + "\n\n" + KeyB + "\n"));
    cr_assert_eq(keys->size(), 2U);
}

Test(KeyFiles, KeyPairIsPrivateAndNotOverwritten)
{
    const ScratchFolder folder("secret");
    const auto file = writeKeyFiles(folder.path(), "entry-1", {KeyA, KeyB});
    cr_assert(static_cast<bool>(file));
    cr_assert(readKeyPairFile(*file)->secretKey == KeyB);
    cr_assert_not(static_cast<bool>(writeKeyFiles(folder.path(), "entry-1", {KeyB, KeyA})));
    cr_assert(readKeyPairFile(*file)->secretKey == KeyB);
    std::filesystem::permissions(*file, std::filesystem::perms::others_read,
                                 std::filesystem::perm_options::add);
    cr_assert(readKeyPairFile(*file).error() == Error::Unauthorised);
}

Test(OperatorSettings, KeepsOnlyControlProcesses)
{
    const ScratchFolder folder("operator");
    folder.write("peers.yaml", ValidPeers);
    const auto loaded = loadOperatorSettings(
        folder.write("operator.yaml", "name: eva\nkey_folder: keys\npeers_file: peers.yaml\n"),
        KeyFilePolicy::Skip);
    cr_assert(static_cast<bool>(loaded), "%s", loaded.message().c_str());
    cr_assert_eq(loaded->controls.size(), 1U);
    cr_assert(loaded->secretKeyFile == folder.path() / "keys/eva.key");
}
