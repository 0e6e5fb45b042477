#include "peer_fields.hpp"

#include "yaml_file.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <gentianramp/config/key_files.hpp>
#include <set>

namespace gentianramp {

namespace {

constexpr std::string_view Scheme = "tcp://";

/// Content of a peers file.
struct PeersFile
{
    std::vector<Located<PeerEntry>> peers;
};

const FieldTable<PeersFile> &peersFileFields()
{
    static const FieldTable<PeersFile> table{
        listField("peers", &PeersFile::peers, peerFields(), Need::Required),
    };
    return table;
}

bool isPort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    return error == std::errc() && stop == text.data() + text.size() && port > 0;
}

std::string publicKeyCheck(const std::string &key)
{
    return key.empty() || isCurveKey(key) ? "" : "a CURVE public key of 40 characters of Z85";
}

void readPublicKey(const Located<PeerEntry> &entry, const std::filesystem::path &keyFolder,
                   PeerSettings &peer, SettingsErrors &errors)
{
    const bool named = !entry.value.publicKeyFile.empty();
    if (named && !peer.publicKey.empty()) {
        errors.push_back(entry.problem(
            "public_key_file", "expected either public_key or public_key_file, found both"));
        return;
    }
    if (!peer.publicKey.empty())
        return;
    if (!named && keyFolder.empty()) {
        errors.push_back(entry.problem(
            "public_key", "key is missing, expected public_key, public_key_file or key_folder"));
        return;
    }
    const auto file = named ? resolveRelativePath(entry.file, entry.value.publicKeyFile)
                            : keyFolder / (peer.instance.value() + ".pub");
    const auto keys = readPeerKeysFile(file);
    if (!keys) {
        errors.push_back(entry.problem("public_key_file", keys.message()));
        return;
    }
    peer.publicKey = keys->front();
    peer.furtherKeys.assign(std::next(keys->begin()), keys->end());
}

} // namespace

const FieldTable<PeerEntry> &peerFields()
{
    static const FieldTable<PeerEntry> table{
        inheritedField<PeerEntry>("instance", &PeerSettings::instance, Need::Required,
                                  ValueCheck<InstanceId>(nameCheck<InstanceId>)),
        inheritedField<PeerEntry>("data_centre", &PeerSettings::dataCentre, Need::Required,
                                  ValueCheck<DataCentreId>(nameCheck<DataCentreId>)),
        inheritedField<PeerEntry>("kind", &PeerSettings::kind, Need::Required),
        inheritedField<PeerEntry>("endpoint", &PeerSettings::endpoint, Need::Required,
                                  ValueCheck<std::string>(endpointCheck)),
        inheritedField<PeerEntry>("public_key", &PeerSettings::publicKey, Need::Optional,
                                  ValueCheck<std::string>(publicKeyCheck)),
        field("public_key_file", &PeerEntry::publicKeyFile),
        inheritedField<PeerEntry>("voter", &PeerSettings::voter),
    };
    return table;
}

std::vector<Located<PeerEntry>> readPeersFile(const std::filesystem::path &file,
                                              SettingsErrors &errors)
{
    return readDocument(file, peersFileFields(), errors).value.peers;
}

std::string endpointCheck(const std::string &endpoint)
{
    std::string expected = "an endpoint such as tcp://127.0.0.1:7001";
    const std::size_t colon = endpoint.rfind(':');
    if (!endpoint.starts_with(Scheme) || colon < Scheme.size())
        return expected;
    const std::string host = endpoint.substr(Scheme.size(), colon - Scheme.size());
    boost::system::error_code failure;
    boost::asio::ip::make_address(host, failure);
    return failure || !isPort(std::string_view(endpoint).substr(colon + 1)) ? expected : "";
}

std::filesystem::path resolveRelativePath(const std::filesystem::path &file,
                                          const std::filesystem::path &path)
{
    return path.empty() ? path : file.parent_path() / path;
}

std::vector<PeerSettings> resolvePeers(const std::vector<Located<PeerEntry>> &entries,
                                       const std::filesystem::path &keyFolder,
                                       KeyFilePolicy keyFiles, SettingsErrors &errors)
{
    std::vector<PeerSettings> peers;
    std::set<std::string> instances;
    std::set<std::string> endpoints;
    for (const Located<PeerEntry> &entry : entries) {
        PeerSettings peer = entry.value;
        if (!instances.insert(peer.instance.value()).second)
            errors.push_back(entry.problem("instance",
                                           "expected a unique instance, found '"
                                               + peer.instance.value() + "' twice"));
        if (!endpoints.insert(peer.endpoint).second)
            errors.push_back(entry.problem(
                "endpoint", "expected a unique endpoint, found '" + peer.endpoint + "' twice"));
        if (peer.voter && peer.kind != ProcessKind::Control)
            errors.push_back(entry.problem("voter", "expected true only on control processes"));
        if (keyFiles == KeyFilePolicy::Read)
            readPublicKey(entry, keyFolder, peer, errors);
        peers.push_back(std::move(peer));
    }
    return peers;
}

} // namespace gentianramp
