#pragma once

#include <filesystem>
#include <gentianramp/core/error.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// Content of a key pair file; both parts are 40 characters of Z85.
struct KeyPairFile
{
    std::string publicKey;
    std::string secretKey;
    bool operator==(const KeyPairFile &) const = default;
};

/// True for 40 characters of Z85.
bool isCurveKey(std::string_view text);

/// Reads a file with one public key. Errors: StorageFailed, Malformed.
Result<std::string> readPublicKeyFile(const std::filesystem::path &file);

/// Reads the public keys of one process, at least one, the newest first.
/// Errors: StorageFailed, Malformed.
Result<std::vector<std::string>> readPeerKeysFile(const std::filesystem::path &file);

/// Atomically replaces the content of @p file by @p keys, one a line. Error: StorageFailed.
Result<std::filesystem::path> replacePublicKeys(const std::filesystem::path &file,
                                                const std::vector<std::string> &keys);

/// Reads operators' public keys, one a line; skips blank lines and lines that start with '#'.
/// Errors: StorageFailed, Malformed.
Result<std::vector<std::string>> readOperatorKeysFile(const std::filesystem::path &file);

/// Reads a file with a public and a secret key on two lines. The file must be accessible
/// to its owner only. Errors: StorageFailed, Malformed, Unauthorised.
Result<KeyPairFile> readKeyPairFile(const std::filesystem::path &file);

/// Writes @p keys to a new @p file, readable by the owner only. Error: StorageFailed.
Result<std::filesystem::path> writeKeyPairFile(const std::filesystem::path &file,
                                               const KeyPairFile &keys);

/// Writes @p keys to "<folder>/<name>.key", readable by the owner only, and the public key to
/// "<folder>/<name>.pub". Never overwrites a file. Errors: InvalidArgument, StorageFailed.
Result<std::filesystem::path> writeKeyFiles(const std::filesystem::path &folder,
                                            const std::string &name, const KeyPairFile &keys);

} // namespace gentianramp
