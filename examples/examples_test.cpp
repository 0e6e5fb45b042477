#include <algorithm>
#include <filesystem>
#include <gentianramp/config/settings_file.hpp>
#include <set>
#include <string>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

/// What the example of one deployment has to hold.
struct Deployment
{
    std::string name;
    std::string modelService;
    std::size_t engines;
    std::string plainService;
    std::string repeatablePath;
    std::string singlePath;
};

constexpr std::size_t PlainWorkers = 3;
constexpr std::size_t Sites = 3;
constexpr std::size_t ProcessesOfEachKind = 7;

std::filesystem::path folderOf(const Deployment &deployment)
{
    return std::filesystem::path(GENTIANRAMP_EXAMPLES) / deployment.name;
}

std::vector<std::filesystem::path> filesIn(const std::filesystem::path &folder)
{
    std::vector<std::filesystem::path> files;
    for (const auto &entry : std::filesystem::directory_iterator(folder))
        files.push_back(entry.path());
    std::sort(files.begin(), files.end());
    return files;
}

std::vector<std::filesystem::path> overlaysOf(const Deployment &deployment)
{
    auto files = filesIn(folderOf(deployment) / "declared");
    std::erase_if(files, [](const auto &file) { return file.filename() == "base.yaml"; });
    return files;
}

std::size_t workersOf(const DeclaredConfiguration &configuration, const std::string &service)
{
    return static_cast<std::size_t>(std::count_if(
        configuration.backends.begin(), configuration.backends.end(),
        [&service](const BackendDeclaration &each) { return each.service.value() == service; }));
}

const ServiceDeclaration &serviceOf(const DeclaredConfiguration &configuration,
                                    const std::string &id)
{
    return *std::find_if(configuration.services.begin(), configuration.services.end(),
                         [&id](const ServiceDeclaration &each) { return each.id.value() == id; });
}

void checkDeclared(const Deployment &deployment)
{
    const auto loaded = loadDeclaredConfiguration(folderOf(deployment) / "declared/base.yaml",
                                                  overlaysOf(deployment));
    cr_assert(static_cast<bool>(loaded), "%s", loaded.message().c_str());
    cr_assert_eq(loaded->sites.size(), Sites);
    cr_assert_eq(workersOf(*loaded, deployment.modelService), deployment.engines);
    cr_assert_eq(workersOf(*loaded, deployment.plainService), PlainWorkers);
    const ServiceDeclaration &plain = serviceOf(*loaded, deployment.plainService);
    cr_assert(isIdempotent(plain, deployment.repeatablePath));
    cr_assert_not(isIdempotent(plain, deployment.singlePath));
}

void checkNodes(const Deployment &deployment)
{
    std::size_t entries = 0;
    std::size_t controls = 0;
    std::set<std::string> voterSites;
    std::set<std::uint16_t> ports;
    for (const auto &file : filesIn(folderOf(deployment) / "nodes")) {
        const auto node = loadNodeSettings(file, KeyFilePolicy::Skip);
        cr_assert(static_cast<bool>(node), "%s", node.message().c_str());
        cr_assert_eq(node->peers.size(), 2 * ProcessesOfEachKind - 1);
        cr_assert(ports.insert(node->httpPort).second);
        (node->kind == ProcessKind::Entry ? entries : controls) += 1;
        if (node->voter)
            voterSites.insert(node->dataCentre.value());
    }
    cr_assert_eq(entries, ProcessesOfEachKind);
    cr_assert_eq(controls, ProcessesOfEachKind);
    cr_assert_eq(voterSites.size(), Sites);
}

void check(const Deployment &deployment)
{
    checkDeclared(deployment);
    checkNodes(deployment);
    const auto client
        = loadOperatorSettings(folderOf(deployment) / "operator.yaml", KeyFilePolicy::Skip);
    cr_assert(static_cast<bool>(client), "%s", client.message().c_str());
    cr_assert_eq(client->controls.size(), ProcessesOfEachKind);
}

} // namespace

Test(Examples, ZilinaIsComplete)
{
    check({"zilina", "desk-assistant", 18, "bay-control", "/bay/lookup", "/bay/unlock"});
}

Test(Examples, KyushuIsComplete)
{
    check({"kyushu", "desk-lm", 12, "desk-app", "/app/job-cards", "/app/dispatch"});
}

Test(Examples, BayCallsGoBeforeAssistantAnswers)
{
    const Deployment zilina{"zilina", "", 0, "", "", ""};
    const auto loaded
        = loadDeclaredConfiguration(folderOf(zilina) / "declared/base.yaml", overlaysOf(zilina));
    const auto levelOf = [&loaded](const std::string &service) {
        const std::string &name = serviceOf(*loaded, service).priorityClass;
        return std::find_if(loaded->priorityClasses.begin(), loaded->priorityClasses.end(),
                            [&name](const PriorityClass &each) { return each.name == name; })
            ->level;
    };
    cr_assert_lt(levelOf("bay-control"), levelOf("desk-assistant"));
}
