#include "protobuf_json.hpp"
#include "text_table.hpp"

#include <filesystem>
#include <fstream>
#include <gentianramp/client/commands.hpp>
#include <gentianramp/config/key_files.hpp>
#include <sstream>
#include <unistd.h>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

const std::string Base = R"(sites: [north]
priority_classes: [{name: normal, level: 0}]
services: []
customers: []
)";

/// Runs commands with @p client; while that is null, connecting fails.
struct CommandFixture
{
    std::ostringstream out;
    std::ostringstream errors;
    OperatorClient *client = nullptr;
    CommandOptions options;

    ExitCode run(std::vector<std::string> words)
    {
        const Command *command = findCommand(words);
        cr_assert_not_null(command);
        options.arguments = words;
        CommandContext context{
            .options = options,
            .out = out,
            .errors = errors,
            .client = [this] { return client; },
            .makeCommandId = [] { return "made-1"; },
            .pause = [](Duration) {},
        };
        return command->run(context);
    }
};

std::filesystem::path makeTemporaryFolder(const std::string &name)
{
    auto folder = std::filesystem::temp_directory_path()
        / ("gentianramp-client-" + name + "-" + std::to_string(getpid()));
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    return folder;
}

/// Creates a link that answers every request with @p answer and records the requests in @p sent.
OperatorLink makeLinkAnswering(const proto::OperatorAnswer &answer,
                               std::vector<proto::OperatorRequest> &sent)
{
    const auto pending = std::make_shared<std::vector<std::string>>();
    OperatorLink link;
    link.send = [pending, answer, &sent](const InstanceId &, const std::string &bytes, Duration) {
        proto::OperatorRequest request;
        request.ParseFromString(bytes);
        sent.push_back(request);
        proto::OperatorAnswer answerWithId = answer;
        answerWithId.set_request_id(request.request_id());
        pending->push_back(answerWithId.SerializeAsString());
    };
    link.receive = [pending](TimePoint deadline) -> std::optional<std::string> {
        if (pending->empty()) {
            RuntimeClock::advance(deadline - RuntimeClock::now());
            return std::nullopt;
        }
        std::string bytes = pending->back();
        pending->pop_back();
        return bytes;
    };
    return link;
}

OperatorClientOptions optionsForOneControl()
{
    return {.author = "eva", .controls = {InstanceId("c1")}, .requestPrefix = "t"};
}

} // namespace

Test(Commands, CommandsAreFoundByOneOrTwoWords)
{
    std::vector<std::string> words{"config", "apply", "folder"};
    cr_assert(findCommand(words)->name == "config apply");
    cr_assert_eq(words.size(), 1U);
    words = {"drain", "engine-1"};
    cr_assert(findCommand(words)->name == "drain");
    words = {"config"};
    cr_assert_null(findCommand(words));
    words = {"confg", "apply"};
    cr_assert_null(findCommand(words));
}

Test(Commands, ConfigCheckListsErrorsAndReturnsBadSettings)
{
    const auto folder = makeTemporaryFolder("check");
    std::ofstream(folder / "base.yaml") << Base;
    CommandFixture valid;
    cr_assert(valid.run({"config", "check", folder.string()}) == ExitCode::Ok);
    std::ofstream(folder / "south.yaml") << "site: south\n";
    CommandFixture invalid;
    invalid.options.json = true;
    cr_assert(invalid.run({"config", "check", folder.string()}) == ExitCode::BadSettings);
    const auto value = nlohmann::json::parse(invalid.out.str());
    cr_assert_eq(value.at("errors").size(), 1U);
    cr_assert_eq(value.at("errors")[0].at("line").get<int>(), 1);
    std::filesystem::remove_all(folder);
}

Test(Commands, KeysMakeKeepsExistingKeys)
{
    const auto folder = makeTemporaryFolder("keys");
    CommandFixture fixture;
    fixture.options.folder = folder;
    fixture.options.processNames = {"entry-1"};
    fixture.options.operators = {"eva"};
    cr_assert(fixture.run({"keys", "make"}) == ExitCode::Ok);
    const auto first = readPublicKeyFile(folder / "entry-1.pub");
    cr_assert(fixture.run({"keys", "make"}) == ExitCode::Ok);
    cr_assert(*readPublicKeyFile(folder / "entry-1.pub") == *first);
    cr_assert_eq(readOperatorKeysFile(folder / "operators.pub")->size(), 1U);
    cr_assert(fixture.run({"keys", "show", (folder / "entry-1.key").string()}) == ExitCode::Ok);
    cr_assert(fixture.out.str().find(*first) != std::string::npos);
    std::filesystem::remove_all(folder);
}

Test(Commands, KeyRotationKeepsTheOldKeyUntilTheNewOneIsInUse)
{
    const auto folder = makeTemporaryFolder("rotation");
    CommandFixture fixture;
    fixture.options.folder = folder;
    fixture.options.processNames = {"entry-1"};
    const auto keys = [&folder] { return *readPeerKeysFile(folder / "entry-1.pub"); };
    cr_assert(fixture.run({"keys", "make"}) == ExitCode::Ok);
    const auto before = keys();
    cr_assert(fixture.run({"keys", "rotate"}) == ExitCode::Ok);
    const auto during = keys();
    cr_assert_eq(during.size(), 2U);
    cr_assert(during[1] == before[0]);
    cr_assert(fixture.run({"keys", "rotate"}) == ExitCode::Ok);
    cr_assert(fixture.run({"keys", "make"}) == ExitCode::Ok);
    cr_assert(keys() == during);
    cr_assert(fixture.run({"keys", "finish"}) == ExitCode::Refused);
    cr_assert(keys() == during);
    std::filesystem::rename(folder / "entry-1.key.next", folder / "entry-1.key");
    cr_assert(fixture.run({"keys", "rotate"}) == ExitCode::Refused);
    cr_assert(fixture.run({"keys", "finish"}) == ExitCode::Ok);
    cr_assert(keys() == std::vector<std::string>{during[0]});
    std::filesystem::remove_all(folder);
}

Test(Commands, DrainSendsTheCommandAndPrintsTheRevision)
{
    RuntimeClock::pause();
    std::vector<proto::OperatorRequest> sent;
    proto::OperatorAnswer answer;
    answer.mutable_apply()->set_revision(12);
    OperatorClient client(optionsForOneControl(), makeLinkAnswering(answer, sent));
    CommandFixture fixture;
    fixture.client = &client;
    fixture.options.baseRevision = 11;
    cr_assert(fixture.run({"drain", "engine-1"}) == ExitCode::Ok);
    cr_assert(sent.front().set_drained().backend() == "engine-1");
    cr_assert(sent.front().set_drained().drained());
    cr_assert(sent.front().set_drained().command_id() == "made-1");
    cr_assert_eq(sent.front().set_drained().base_revision(), 11U);
    cr_assert(fixture.out.str().find("revision 12") != std::string::npos);
}

Test(Commands, DrainIsBasedOnTheCurrentRevision)
{
    RuntimeClock::pause();
    std::vector<proto::OperatorRequest> sent;
    proto::OperatorAnswer answer;
    answer.mutable_status()->set_revision(41);
    OperatorClient client(optionsForOneControl(), makeLinkAnswering(answer, sent));
    CommandFixture fixture;
    fixture.client = &client;
    fixture.run({"drain", "engine-1"});
    cr_assert(sent.front().has_status());
    cr_assert_eq(sent.back().set_drained().base_revision(), 41U);
    fixture.options.commandId = "again";
    cr_assert(fixture.run({"drain", "engine-1"}) == ExitCode::Usage);
}

Test(Commands, ConflictReturnsItsOwnExitCode)
{
    RuntimeClock::pause();
    std::vector<proto::OperatorRequest> sent;
    proto::OperatorAnswer answer;
    answer.set_error(proto::OPERATOR_ERROR_CONFLICT);
    answer.set_message("revision 8 is current");
    OperatorClient client(optionsForOneControl(), makeLinkAnswering(answer, sent));
    CommandFixture fixture;
    fixture.client = &client;
    fixture.options.baseRevision = 7;
    cr_assert(fixture.run({"undrain", "engine-1"}) == ExitCode::Conflict);
    cr_assert(fixture.errors.str().find("revision 8 is current") != std::string::npos);
}

Test(Commands, ResendRequiresTheBaseRevision)
{
    const auto folder = makeTemporaryFolder("resend");
    std::ofstream(folder / "base.yaml") << Base;
    CommandFixture fixture;
    fixture.options.commandId = "again";
    cr_assert(fixture.run({"config", "apply", folder.string()}) == ExitCode::Usage);
    std::filesystem::remove_all(folder);
}

Test(TextTable, AlignsColumns)
{
    TextTable table({"A", "LONG"});
    table.addRow({"value", "x"});
    cr_assert(table.toString() == "A      LONG\nvalue  x\n");
}

Test(ProtobufJson, WritesLargeIntegersAsNumbers)
{
    proto::RolesAnswer answer;
    answer.add_plans()->set_fencing(1ULL << 60);
    const auto value = toJson(answer);
    cr_assert_eq(value.at("plans")[0].at("fencing").get<std::uint64_t>(), 1ULL << 60);
}

Test(Commands, ExplainReadsTheLogsOfAllProcesses)
{
    const std::filesystem::path folder = makeTemporaryFolder("explain");
    std::ofstream(folder / "entry-1.log")
        << "time_ms=50000 mono_ms=1 level=I event=request_refused request=r1 service=desk "
           "reason=no_backend verdict=NotRun list_age_ms=70 total_ms=0\n"
        << "not a structured log line\n";
    std::ofstream(folder / "control-1.log")
        << "time_ms=49000 mono_ms=1 level=I event=leadership_gained term=4\n";
    CommandFixture fixture;
    cr_assert_eq(fixture.run({"explain", "r1", folder.string()}), ExitCode::Ok);
    const std::string text = fixture.out.str();
    cr_assert_neq(text.find("no backend server of desk"), std::string::npos, "%s", text.c_str());
    cr_assert_neq(text.find("-1000  control-1"), std::string::npos, "%s", text.c_str());
    fixture.options.json = true;
    fixture.out.str("");
    cr_assert_eq(fixture.run({"explain", "r1", folder.string()}), ExitCode::Ok);
    const auto json = nlohmann::json::parse(fixture.out.str());
    cr_assert_eq(json["lines"][0]["process"], "entry-1");
    cr_assert_eq(json["beliefs"][0]["fields"]["term"], "4");
    cr_assert_eq(fixture.run({"explain", "r2", folder.string()}), ExitCode::Failed);
    cr_assert_eq(fixture.run({"explain", "r1"}), ExitCode::Usage);
    cr_assert_eq(fixture.run({"explain", "r1", "/does/not/exist"}), ExitCode::Failed);
}
