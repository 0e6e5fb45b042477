#include <gentianramp/config/key_files.hpp>

#include <algorithm>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <unistd.h>

namespace gentianramp {

namespace {

constexpr std::size_t KeyLength = 40;
constexpr std::size_t MaxKeyFileBytes = 64 * 1024;
constexpr std::string_view Z85Alphabet
    = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ.-:+=^!/*?&<>()[]{}@%$#";
constexpr mode_t SecretMode = 0600;
constexpr mode_t PublicMode = 0644;
constexpr auto OtherUsers = std::filesystem::perms::group_all | std::filesystem::perms::others_all;

Result<std::vector<std::string>> readLines(const std::filesystem::path &file)
{
    std::error_code failure;
    const auto size = std::filesystem::file_size(file, failure);
    if (failure)
        return {Error::StorageFailed, "cannot read " + file.string() + ": " + failure.message()};
    if (size > MaxKeyFileBytes)
        return {Error::Malformed, file.string() + ": expected a key file of at most 65536 bytes"};
    std::ifstream in(file);
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);) {
        // A key may start with '#', so a line is a comment only if it is not a key.
        if (!line.empty() && (isCurveKey(line) || line.front() != '#'))
            lines.push_back(line);
    }
    return lines;
}

Result<std::vector<std::string>> readKeys(const std::filesystem::path &file)
{
    auto lines = readLines(file);
    if (!lines)
        return lines;
    if (std::all_of(lines->begin(), lines->end(), isCurveKey))
        return lines;
    return {Error::Malformed,
            file.string() + ": expected one key of 40 Z85 characters on each line"};
}

/// Writes and syncs a new file; fails if the file exists.
bool writeNewFile(const std::filesystem::path &file, const std::string &text, mode_t mode)
{
    const int handle = ::open(file.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
    if (handle < 0)
        return false;
    const bool written
        = ::write(handle, text.data(), text.size()) == static_cast<ssize_t>(text.size());
    const bool synced = ::fsync(handle) == 0;
    return ::close(handle) == 0 && written && synced;
}

} // namespace

bool isCurveKey(std::string_view text)
{
    return text.size() == KeyLength && text.find_first_not_of(Z85Alphabet) == text.npos;
}

Result<std::string> readPublicKeyFile(const std::filesystem::path &file)
{
    auto keys = readKeys(file);
    if (!keys)
        return {keys.error(), keys.message()};
    if (keys->size() != 1)
        return {Error::Malformed, file.string() + ": expected one public key"};
    return keys->front();
}

Result<std::vector<std::string>> readPeerKeysFile(const std::filesystem::path &file)
{
    auto keys = readKeys(file);
    if (keys && keys->empty())
        return {Error::Malformed, file.string() + ": expected at least one public key"};
    return keys;
}

Result<std::filesystem::path> replacePublicKeys(const std::filesystem::path &file,
                                                const std::vector<std::string> &keys)
{
    std::string text;
    for (const std::string &key : keys)
        text += key + "\n";
    const std::filesystem::path draft = file.string() + ".draft";
    std::error_code failure;
    std::filesystem::remove(draft, failure);
    if (!writeNewFile(draft, text, PublicMode))
        return {Error::StorageFailed, "cannot create " + draft.string()};
    std::filesystem::rename(draft, file, failure);
    if (failure)
        return {Error::StorageFailed, "cannot replace " + file.string() + ": " + failure.message()};
    return file;
}

Result<std::filesystem::path> writeKeyPairFile(const std::filesystem::path &file,
                                               const KeyPairFile &keys)
{
    if (!writeNewFile(file, keys.publicKey + "\n" + keys.secretKey + "\n", SecretMode))
        return {Error::StorageFailed, "cannot create " + file.string() + " as a new file"};
    return file;
}

Result<std::vector<std::string>> readOperatorKeysFile(const std::filesystem::path &file)
{
    return readKeys(file);
}

Result<KeyPairFile> readKeyPairFile(const std::filesystem::path &file)
{
    auto keys = readKeys(file);
    if (!keys)
        return {keys.error(), keys.message()};
    if (keys->size() != 2)
        return {Error::Malformed, file.string() + ": expected a public and a secret key"};
    std::error_code failure;
    const auto permissions = std::filesystem::status(file, failure).permissions();
    if (failure || (permissions & OtherUsers) != std::filesystem::perms::none)
        return {Error::Unauthorised,
                file.string() + ": expected mode 0600, the file is accessible to others"};
    return KeyPairFile{(*keys)[0], (*keys)[1]};
}

Result<std::filesystem::path> writeKeyFiles(const std::filesystem::path &folder,
                                            const std::string &name, const KeyPairFile &keys)
{
    if (name.empty() || name.find('/') != std::string::npos)
        return {Error::InvalidArgument,
                "'" + name + "' is not a valid key name, expected a name without '/'"};
    std::error_code failure;
    std::filesystem::create_directories(folder, failure);
    if (failure)
        return {Error::StorageFailed,
                "cannot create the folder " + folder.string() + ": " + failure.message()};
    const std::filesystem::path secretFile = folder / (name + ".key");
    const std::filesystem::path publicFile = folder / (name + ".pub");
    if (auto written = writeKeyPairFile(secretFile, keys); !written)
        return written;
    if (!writeNewFile(publicFile, keys.publicKey + "\n", PublicMode))
        return {Error::StorageFailed, "cannot create " + publicFile.string() + " as a new file"};
    return secretFile;
}

} // namespace gentianramp
