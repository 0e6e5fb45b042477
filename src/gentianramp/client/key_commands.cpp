#include "command_support.hpp"

#include <algorithm>
#include <fstream>
#include <gentianramp/config/key_files.hpp>
#include <gentianramp/config/settings_file.hpp>
#include <gentianramp/wire/mesh.hpp>
#include <optional>

namespace gentianramp {

namespace {

constexpr std::string_view OperatorsFile = "operators.pub";

/// Makes the key files of @p name unless they exist, and then increments @p made. Returns the
/// public key.
Result<std::string> ensureKeys(const std::filesystem::path &folder, const std::string &name,
                               std::size_t &made)
{
    const std::filesystem::path publicFile = folder / (name + ".pub");
    if (!std::filesystem::exists(publicFile)) {
        const CurveKeyPair keys = makeCurveKeyPair();
        const auto written = writeKeyFiles(folder, name, {keys.publicKey, keys.secretKey});
        if (!written)
            return {written.error(), written.message()};
        ++made;
    }
    const auto keys = readPeerKeysFile(publicFile);
    if (!keys)
        return {keys.error(), keys.message()};
    return keys->front();
}

/// Adds @p key to the operators' public keys unless they contain it. Returns false when the file
/// can't be read or written.
bool addOperatorKey(const std::filesystem::path &folder, const std::string &key)
{
    const std::filesystem::path file = folder / OperatorsFile;
    if (std::filesystem::exists(file)) {
        const auto keys = readOperatorKeysFile(file);
        if (!keys)
            return false;
        if (std::find(keys->begin(), keys->end(), key) != keys->end())
            return true;
    }
    std::ofstream out(file, std::ios::app);
    out << key << '\n';
    return out.flush().good();
}

/// Key files of the process whose key is rotated.
struct RotationFiles
{
    std::filesystem::path publicFile;
    std::filesystem::path currentPair;
    std::filesystem::path nextPair;
};

std::optional<RotationFiles> rotationFiles(const CommandOptions &options)
{
    if (options.folder.empty() || options.processNames.size() != 1)
        return std::nullopt;
    const std::filesystem::path stem = options.folder / options.processNames.front();
    return RotationFiles{stem.string() + ".pub", stem.string() + ".key",
                         stem.string() + ".key.next"};
}

/// Returns the next key pair. Makes it unless an interrupted rotation has already done so.
Result<KeyPairFile> ensureNextKeyPair(const std::filesystem::path &file)
{
    if (std::filesystem::exists(file))
        return readKeyPairFile(file);
    const CurveKeyPair made = makeCurveKeyPair();
    KeyPairFile pair{made.publicKey, made.secretKey};
    if (const auto written = writeKeyPairFile(file, pair); !written)
        return {written.error(), written.message()};
    return pair;
}

} // namespace

ExitCode runKeysMake(CommandContext &context)
{
    const CommandOptions &options = context.options;
    if (options.folder.empty())
        return fail(context, ExitCode::Usage, "expected --dir with the folder of the key files");
    std::vector<std::string> processNames = options.processNames;
    if (!options.peersFile.empty()) {
        const auto peers = loadPeers(options.peersFile);
        if (!peers)
            return fail(context, ExitCode::BadSettings, peers.message());
        for (const PeerSettings &peer : *peers)
            processNames.push_back(peer.instance.value());
    }
    if (processNames.empty() && options.operators.empty())
        return fail(context, ExitCode::Usage, "expected --peers-file, --name or --operator");
    std::size_t made = 0;
    for (const std::string &name : processNames) {
        if (const auto key = ensureKeys(options.folder, name, made); !key)
            return fail(context, ExitCode::Failed, key.message());
    }
    for (const std::string &name : options.operators) {
        const auto key = ensureKeys(options.folder, name, made);
        if (!key)
            return fail(context, ExitCode::Failed, key.message());
        if (!addOperatorKey(options.folder, *key))
            return fail(context, ExitCode::Failed,
                        "cannot read or write operators.pub in the folder of --dir");
    }
    const std::size_t requestedCount = processNames.size() + options.operators.size();
    print(context, {{"made", made}, {"kept", requestedCount - made}},
          std::to_string(made) + " key pairs made, " + std::to_string(requestedCount - made)
              + " kept in " + options.folder.string() + "\n");
    return ExitCode::Ok;
}

ExitCode runKeysShow(CommandContext &context)
{
    if (context.options.arguments.size() != 1)
        return fail(context, ExitCode::Usage, "expected one key file (.key or .pub)");
    const std::filesystem::path file = context.options.arguments.front();
    std::string publicKey;
    if (file.extension() == ".key") {
        const auto pair = readKeyPairFile(file);
        if (!pair)
            return fail(context, ExitCode::Failed, pair.message());
        publicKey = pair->publicKey;
    } else {
        const auto keys = readPeerKeysFile(file);
        if (!keys)
            return fail(context, ExitCode::Failed, keys.message());
        publicKey = keys->front();
    }
    print(context, {{"public_key", publicKey}}, publicKey + "\n");
    return ExitCode::Ok;
}

ExitCode runKeysRotate(CommandContext &context)
{
    const auto files = rotationFiles(context.options);
    if (!files)
        return fail(context, ExitCode::Usage, "expected --dir and one --name");
    const auto keys = readPeerKeysFile(files->publicFile);
    if (!keys)
        return fail(context, ExitCode::Failed, keys.message());
    const bool rotationStarted = std::filesystem::exists(files->nextPair);
    if (keys->size() > 1 && !rotationStarted)
        return fail(context, ExitCode::Refused,
                    "an earlier rotation is not finished: run keys finish first");
    const auto next = ensureNextKeyPair(files->nextPair);
    if (!next)
        return fail(context, ExitCode::Failed, next.message());
    if (keys->front() != next->publicKey) {
        std::vector<std::string> publicKeys{next->publicKey};
        publicKeys.insert(publicKeys.end(), keys->begin(), keys->end());
        if (const auto written = replacePublicKeys(files->publicFile, publicKeys); !written)
            return fail(context, ExitCode::Failed, written.message());
    }
    print(context, {{"public_key", next->publicKey}, {"file", files->nextPair.string()}},
          "next key pair in " + files->nextPair.string() + "\n");
    return ExitCode::Ok;
}

ExitCode runKeysFinish(CommandContext &context)
{
    const auto files = rotationFiles(context.options);
    if (!files)
        return fail(context, ExitCode::Usage, "expected --dir and one --name");
    const auto keys = readPeerKeysFile(files->publicFile);
    if (!keys)
        return fail(context, ExitCode::Failed, keys.message());
    const auto pair = readKeyPairFile(files->currentPair);
    if (!pair)
        return fail(context, ExitCode::Failed, pair.message());
    if (std::filesystem::exists(files->nextPair) || pair->publicKey != keys->front())
        return fail(context, ExitCode::Refused,
                    "the next key pair is not in use: move " + files->nextPair.string() + " to "
                        + files->currentPair.string() + " and restart the process first");
    if (const auto written = replacePublicKeys(files->publicFile, {keys->front()}); !written)
        return fail(context, ExitCode::Failed, written.message());
    const std::size_t dropped = keys->size() - 1;
    print(context, {{"public_key", keys->front()}, {"dropped", dropped}},
          std::to_string(dropped) + " old public keys removed\n");
    return ExitCode::Ok;
}

} // namespace gentianramp
