#include <gentianramp/relay/stream_origin.hpp>

#include <set>

namespace gentianramp {

std::optional<OriginEvidence> recordAlone(const OriginEvidence &ofRegistry)
{
    if (!ofRegistry.recorded)
        return std::nullopt;
    return OriginEvidence{
        .recorded = ofRegistry.recorded, .versions = {}, .isComplete = false, .isFresh = false};
}

bool hasOneVersion(const OriginEvidence &own)
{
    return own.isComplete && own.isFresh && own.versions.size() == 1;
}

OriginDecision decideOrigin(const std::string &service, const OriginEvidence &own,
                            std::span<const OriginEvidence> others)
{
    std::vector<const OriginEvidence *> all{&own};
    for (const OriginEvidence &other : others)
        all.push_back(&other);
    std::optional<StreamOrigin> recorded;
    std::set<std::string> versions;
    bool complete = false;
    for (const OriginEvidence *evidence : all) {
        if (evidence->recorded && recorded && *evidence->recorded != *recorded)
            return {std::nullopt, "records_differ"};
        if (evidence->recorded)
            recorded = evidence->recorded;
        versions.insert(evidence->versions.begin(), evidence->versions.end());
        complete = complete || evidence->isComplete;
    }
    if (recorded && !recorded->version.empty())
        return {recorded, "recorded"};
    // An instance that has known a second version for long keeps records elsewhere; if none of its
    // keepers answers, an old listing may lack that version.
    const bool mayLackVersions = !own.isFresh && others.empty();
    if (complete && !mayLackVersions && versions.size() == 1)
        return {StreamOrigin{service, *versions.begin()}, "only_version"};
    return {std::nullopt, recorded ? "version_not_known" : "not_recorded"};
}

} // namespace gentianramp
