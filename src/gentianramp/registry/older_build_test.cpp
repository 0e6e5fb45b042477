// Messages and records of commit 69badfb, as an instance of that build sends or stores them. They
// are committed as bytes, so that a change of the messages shows here.

#include "registry_codec.hpp"

#include <boost/algorithm/hex.hpp>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/descriptor.pb.h>
#include <google/protobuf/dynamic_message.h>
#include <google/protobuf/util/message_differencer.h>
#include <iterator>
#include <map>
#include <memory>
#include <set>

#include "gentianramp/registry/generated/registry.pb.h"

#include <criterion/criterion.h>

using namespace gentianramp;
using google::protobuf::util::MessageDifferencer;

namespace {

using std::chrono::milliseconds;

std::string bytes(const std::string &hexadecimalText)
{
    std::string result;
    boost::algorithm::unhex(hexadecimalText, std::back_inserter(result));
    return result;
}

const std::string FeedRequestBytes
    = bytes("4aa40108291007190b00000000000000210c00000000000000280d3a0b0a026c6d10dc0b1814201e"
            "410e00000000000000480f521e0a1c0a03692d3910051a026c6d20642a0d094d0000000000000010"
            "0218015a084e0000000000000062160a03692d3810061a026c6d21000000000000294030286a2110"
            "0a1a070a026c6d10c41322140a03692d3810061803200429000000000000f83f7201617801810163"
            "00000000000000");

const std::string FeedAnswerBytes
    = bytes("52f301082910072032290b0000000000000030ac023a3f0a2f0a03692d3112026c6d1a0b31302e31"
            "2e302e353a383022016128403001380140fbd095ffbc3148840750015a027631110a000000000000"
            "001a03692d3242170a0d31302e312e302e313a373030301201611878208201484a5223083c120d0a"
            "03692d311002182128013002190c00000000000000200d280e3203692d32590e0000000000000060"
            "107231081410031a160a03692d3810061a026c6d21000000000000294030282213120d31302e312e"
            "302e393a37313030180320097963000000000000008201160a140a0d31302e312e302e393a373130"
            "301201611801");

const std::string PresenceBytes
    = bytes("0a610a01621206736561742d321915cd5b070000000022170a0d31302e312e302e313a3730303012"
            "01611878208201280c30013809420b0a026c6d10dc0b1814201e48015137000000000000005a140a"
            "120a0d31302e312e302e393a37313030120161");

const std::string StoredDeclarationBytes = bytes("0807120d7b2256657273696f6e223a377d");

const std::string WholeBackendListBytes
    = bytes("0a280a03692d3112026c6d1a0b31302e312e302e353a3830220161284040fbd095ffbc3150015a02"
            "76310a1b0a03692d3312026c6d1a0b31302e312e302e363a38312201622806");

const std::string LoadTableBytes
    = bytes("5a21083c120b0a03692d3110021821200112050a03692d33190c00000000000000280e");

const std::string PackedBackendListBytes
    = bytes("224a4700000000000000789ce3d2e062ced4351462cac995e23634d033d433d033b5b23050624cd4"
            "7070f87d61eaff3d86018c514c65865cd22095c6282acdac2c0c95189334d80044730fed");

TimePoint now()
{
    return TimePoint(std::chrono::seconds(900));
}

template <typename Message>
Message parsed(const std::string &encoded)
{
    Message message;
    cr_assert(message.ParseFromString(encoded));
    cr_assert_eq(message.SerializeAsString(), encoded, "a field was lost or is not known");
    return message;
}

ListedServer engineOne()
{
    return {.id = BackendId("i-1"),
            .service = "lm",
            .host = "10.1.0.5",
            .port = 80,
            .dataCentre = DataCentreId("a"),
            .slots = 64,
            .engine = true,
            .startedAtMs = 1'700'000'000'123,
            .softwareVersion = "v1"};
}

/// Fields that were added after commit 69badfb, by message.
const std::map<std::string, std::set<std::string>> &addedFields()
{
    static const std::map<std::string, std::set<std::string>> added{
        {"StageDelays", {"prefill_work", "streams"}},
        {"Presence", {"wall_clock_ms", "platform_ms"}},
        {"StoredDeclaration", {"usage"}},
        {"SeatRelease", {"term"}},
        {"ListedBackend", {"spot"}},
        {"EngineLoad", {"speed", "slowness"}},
        {"FeedRequest", {"usage", "speeds", "wants_versions"}},
        {"FeedAnswer",
         {"true_time_ms", "usage_decided", "usage_epoch", "usage_sequence", "shares", "versions",
          "versions_known_ms"}},
        {"RegistryMessage", {"usage_reports", "speed_reports", "peer"}}};
    return added;
}

/// The messages as commit 69badfb knows them.
class OlderBuild
{
public:
    OlderBuild()
    {
        google::protobuf::FileDescriptorProto file;
        proto::RegistryMessage::descriptor()->file()->CopyTo(&file);
        for (auto &message : *file.mutable_message_type()) {
            const auto added = addedFields().find(message.name());
            if (added == addedFields().end())
                continue;
            std::size_t removed = 0;
            for (int index = message.field_size() - 1; index >= 0; --index) {
                if (!added->second.contains(message.field(index).name()))
                    continue;
                message.mutable_field()->DeleteSubrange(index, 1);
                ++removed;
            }
            cr_assert_eq(removed, added->second.size());
        }
        cr_assert(m_pool.BuildFile(file) != nullptr);
    }

    /// @p encoded as that build reads it.
    std::unique_ptr<google::protobuf::Message> read(const std::string &name,
                                                    const std::string &encoded)
    {
        const auto *type = m_pool.FindMessageTypeByName("gentianramp.proto." + name);
        std::unique_ptr<google::protobuf::Message> message(m_factory.GetPrototype(type)->New());
        cr_assert(message->ParseFromString(encoded));
        return message;
    }

private:
    google::protobuf::DescriptorPool m_pool;
    google::protobuf::DynamicMessageFactory m_factory{&m_pool};
};

/// Sets every field of @p message, of nested messages too.
void fill(google::protobuf::Message &message)
{
    const auto *type = message.GetDescriptor();
    const auto *reflection = message.GetReflection();
    using Field = google::protobuf::FieldDescriptor;
    for (int index = 0; index < type->field_count(); ++index) {
        const Field *field = type->field(index);
        if (field->containing_oneof())
            continue;
        const bool list = field->is_repeated();
        switch (field->cpp_type()) {
        case Field::CPPTYPE_MESSAGE:
            fill(list ? *reflection->AddMessage(&message, field)
                      : *reflection->MutableMessage(&message, field));
            break;
        case Field::CPPTYPE_STRING:
            list ? reflection->AddString(&message, field, "text")
                 : reflection->SetString(&message, field, "text");
            break;
        case Field::CPPTYPE_BOOL:
            reflection->SetBool(&message, field, true);
            break;
        case Field::CPPTYPE_UINT32:
            reflection->SetUInt32(&message, field, 7);
            break;
        case Field::CPPTYPE_INT32:
            reflection->SetInt32(&message, field, -7);
            break;
        case Field::CPPTYPE_UINT64:
            list ? reflection->AddUInt64(&message, field, 8)
                 : reflection->SetUInt64(&message, field, 8);
            break;
        case Field::CPPTYPE_INT64:
            reflection->SetInt64(&message, field, 9);
            break;
        case Field::CPPTYPE_DOUBLE:
            reflection->SetDouble(&message, field, 1.5);
            break;
        default:
            cr_assert_fail("a field of a type that no message had");
        }
    }
}

} // namespace

Test(older_build, aFeedRequestIsReadAndWantsNothingNew)
{
    const proto::FeedRequest request = parsed<proto::RegistryMessage>(FeedRequestBytes).feed();
    cr_assert_eq(request.call(), 41U);
    cr_assert_eq(request.number(), 7U);
    cr_assert_eq(request.list_digest(), 11U);
    cr_assert_eq(request.loads_epoch(), 12U);
    cr_assert_eq(request.loads_version(), 13U);
    cr_assert_eq(request.crashes_epoch(), 14U);
    cr_assert_eq(request.crashes_version(), 15U);
    cr_assert_eq(request.data_centre(), "a");
    cr_assert(request.cut_off());
    cr_assert_eq(request.peers_digest(), 99U);
    cr_assert_eq(request.refused_parts(0), 78U);
    const ServiceDelays delays = fromProto(request.delays());
    cr_assert_float_eq(delays.at("lm").requests, 1.5, 1e-9);
    cr_assert_float_eq(delays.at("lm").prefill, 0.02, 1e-9);
    cr_assert_float_eq(delays.at("lm").prefillWork, 0, 1e-9);
    cr_assert_float_eq(delays.at("lm").streams, 0, 1e-9);
    const CrashReports crashes = fromProto(request.crashes(), now());
    cr_assert_eq(crashes.crashes.at(0).server.value(), "i-9");
    cr_assert_eq(crashes.crashes.at(0).crashedAt, now() - milliseconds(100));
    const LimitReports limits = limitReports(request, InstanceId("e"), now());
    cr_assert_float_eq(limits.limits.at(0).perSecond.value(), 12.5, 1e-9);
    cr_assert_eq(limits.demands.at(InstanceId("e")).holdings.at(0).applied, 4U);
    cr_assert_not(request.has_usage());
    cr_assert_eq(request.speeds_size(), 0);
    cr_assert_not(request.wants_versions());
}

Test(older_build, aFeedAnswerIsReadAndStatesNothingNew)
{
    const proto::FeedAnswer answer = parsed<proto::RegistryMessage>(FeedAnswerBytes).feed_answer();
    cr_assert_eq(answer.call(), 41U);
    cr_assert_eq(answer.number(), 7U);
    cr_assert_eq(answer.confirmed_ms(), 50U);
    cr_assert_eq(answer.list_age_ms(), 300U);
    cr_assert_eq(answer.entries(), 74U);
    cr_assert_eq(answer.known(0).instance(), "10.1.0.1:7000");
    const std::optional<ListingChange> change = fromProto(answer.list(), answer.list_digest());
    cr_assert(change);
    ListedServer changed = engineOne();
    changed.draining = true;
    changed.prefillOnly = true;
    changed.warmUpLeftMs = 900;
    cr_assert_eq(change->baseDigest, 10U);
    cr_assert(change->changed == std::vector{changed});
    cr_assert(change->removed == std::vector{BackendId("i-2")});
    const LoadChange loads = fromProto(answer.loads(), now());
    cr_assert_eq(loads.epoch, 12U);
    cr_assert_eq(loads.baseVersion, 13U);
    cr_assert_eq(loads.changed.at(0).running, 33U);
    cr_assert(loads.changed.at(0).stage == ReportedStage::Prefill);
    cr_assert(loads.changed.at(0).changing);
    const LimitTable limits = fromProto(answer.limits(), now());
    cr_assert_eq(limits.term, 3U);
    cr_assert_eq(limits.grants.at(0).total, 9U);
    const PeerInstance peer{InstanceId("10.1.0.9:7100"), DataCentreId("a"), true};
    cr_assert(fromProto(answer.peers()) == std::vector{peer});
    cr_assert_eq(answer.true_time_ms(), 0);
    cr_assert_eq(answer.usage_decided(), 0U);
    cr_assert_not(versionReport(answer));
}

Test(older_build, aPresenceIsReadAndStatesNoClock)
{
    const proto::Presence presence = parsed<proto::RegistryMessage>(PresenceBytes).presence();
    cr_assert_eq(presence.data_centre(), "b");
    cr_assert_eq(presence.seat(), "seat-2");
    cr_assert_eq(presence.folder(), 123456789U);
    cr_assert_eq(presence.known(0).heard_ms(), 120U);
    cr_assert_eq(presence.entries(), 12U);
    cr_assert(presence.leads());
    cr_assert_eq(presence.term(), 9U);
    cr_assert(presence.takes_seat());
    cr_assert_eq(presence.crashes_digest(), 55U);
    cr_assert_eq(presence.asking().processes_size(), 1);
    cr_assert_eq(presence.wall_clock_ms(), 0);
    cr_assert_eq(presence.platform_ms(), 0U);
}

Test(older_build, aLedgerRecordIsReadAndHasNoUsage)
{
    const auto stored = parsed<proto::StoredDeclaration>(StoredDeclarationBytes);
    cr_assert_eq(stored.number(), 7U);
    cr_assert_eq(stored.content(), "{\"Version\":7}");
    cr_assert_not(stored.has_usage());
}

Test(older_build, aWholeListIsReadPackedAndPlain)
{
    ListedServer second{.id = BackendId("i-3"), .service = "lm", .host = "10.1.0.6", .port = 81};
    second.dataCentre = DataCentreId("b");
    second.slots = 6;
    for (const std::string &encoded : {WholeBackendListBytes, PackedBackendListBytes}) {
        const std::optional<ListingChange> change
            = fromProto(parsed<proto::BackendList>(encoded), 11);
        cr_assert(change);
        cr_assert_eq(change->baseDigest, 0U);
        cr_assert(change->changed == std::vector({engineOne(), second}));
    }
}

Test(older_build, aLoadTableIsReadWithoutSpeeds)
{
    const proto::LoadTable table = parsed<proto::RegistryMessage>(LoadTableBytes).loads();
    const LoadChange loads = fromProto(table, now());
    cr_assert_eq(loads.takenAt, now() - milliseconds(60));
    cr_assert_eq(loads.baseVersion, 0U);
    cr_assert_eq(loads.newVersion, 14U);
    cr_assert_eq(loads.changed.size(), 2U);
    cr_assert_eq(loads.changed.at(0).waiting, 2U);
    cr_assert(loads.changed.at(0).silent);
    for (const ReportedLoad &load : loads.changed) {
        cr_assert_float_eq(load.speed, 0, 1e-9);
        cr_assert_eq(load.slownessPercent, 0U);
    }
}

// What the older build passes on loses what it does not know, or it refuses the message.
Test(older_build, readsTodaysMessagesAndKeepsTheFieldsThatItDoesNotKnow)
{
    OlderBuild older;
    const auto check = [&](const std::string &name, auto message) {
        fill(message);
        const auto read = older.read(name, message.SerializeAsString());
        decltype(message) back;
        cr_assert(back.ParseFromString(read->SerializeAsString()));
        cr_assert(MessageDifferencer::Equals(back, message), "%s", name.c_str());
        const auto *unknown = &read->GetReflection()->GetUnknownFields(*read);
        const auto added = addedFields().find(name);
        const std::size_t expected = added == addedFields().end() ? 0 : added->second.size();
        cr_assert_eq(static_cast<std::size_t>(unknown->field_count()), expected, "%s",
                     name.c_str());
    };
    check("FeedRequest", proto::FeedRequest());
    check("FeedAnswer", proto::FeedAnswer());
    check("Presence", proto::Presence());
    check("StoredDeclaration", proto::StoredDeclaration());
    check("SeatRelease", proto::SeatRelease());
    check("BackendList", proto::BackendList());
    check("LoadTable", proto::LoadTable());
}

// A record of a stream that reaches an older registry instance must be dropped without a log line
// or an answer: it reads a message whose body is not set.
Test(older_build, takesNewKindsOfMessagesForEmptyOnes)
{
    OlderBuild older;
    proto::RegistryMessage peer;
    peer.set_peer("record");
    proto::RegistryMessage usage;
    usage.mutable_usage_reports();
    proto::RegistryMessage speeds;
    speeds.mutable_speed_reports();
    for (const proto::RegistryMessage &message : {peer, usage, speeds}) {
        const auto read = older.read("RegistryMessage", message.SerializeAsString());
        cr_assert_not(read->GetReflection()->HasOneof(*read, read->GetDescriptor()->oneof_decl(0)));
    }
}
