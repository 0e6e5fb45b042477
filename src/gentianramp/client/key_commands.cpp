#include "command_support.hpp"

#include <algorithm>
#include <fstream>
#include <gentianramp/config/key_files.hpp>
#include <gentianramp/config/settings_file.hpp>
#include <gentianramp/wire/mesh.hpp>

namespace gentianramp {

namespace {

constexpr std::string_view OperatorsFile = "operators.pub";

/// Makes the key files of @p name unless they exist; counts those made.
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
    return readPublicKeyFile(publicFile);
}

/// Adds @p key to the operators' public keys unless it is there.
bool addOperator(const std::filesystem::path &folder, const std::string &key)
{
    const std::filesystem::path file = folder / OperatorsFile;
    if (std::filesystem::exists(file)) {
        const auto keys = readPublicKeysFile(file);
        if (!keys)
            return false;
        if (std::find(keys->begin(), keys->end(), key) != keys->end())
            return true;
    }
    std::ofstream out(file, std::ios::app);
    out << key << '\n';
    return out.flush().good();
}

} // namespace

ExitCode runKeysMake(CommandContext &context)
{
    const CommandOptions &options = context.options;
    if (options.folder.empty())
        return fail(context, ExitCode::Usage, "expected --dir with the folder of the key files");
    std::vector<std::string> names = options.names;
    if (!options.peersFile.empty()) {
        const auto peers = loadPeers(options.peersFile);
        if (!peers)
            return fail(context, ExitCode::BadSettings, peers.message());
        for (const PeerSettings &peer : *peers)
            names.push_back(peer.instance.value());
    }
    if (names.empty() && options.operators.empty())
        return fail(context, ExitCode::Usage, "expected --peers-file, --name or --operator");
    std::size_t made = 0;
    for (const std::string &name : names) {
        if (const auto key = ensureKeys(options.folder, name, made); !key)
            return fail(context, ExitCode::Failed, key.message());
    }
    for (const std::string &name : options.operators) {
        const auto key = ensureKeys(options.folder, name, made);
        if (!key)
            return fail(context, ExitCode::Failed, key.message());
        if (!addOperator(options.folder, *key))
            return fail(context, ExitCode::Failed, "cannot write the file operators.pub");
    }
    const std::size_t wanted = names.size() + options.operators.size();
    print(context, {{"made", made}, {"kept", wanted - made}},
          std::to_string(made) + " key pairs made, " + std::to_string(wanted - made) + " kept in "
              + options.folder.string() + "\n");
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
        const auto key = readPublicKeyFile(file);
        if (!key)
            return fail(context, ExitCode::Failed, key.message());
        publicKey = *key;
    }
    print(context, {{"public_key", publicKey}}, publicKey + "\n");
    return ExitCode::Ok;
}

} // namespace gentianramp
