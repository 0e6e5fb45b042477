#include "registry_codec.hpp"

#include <algorithm>
#include <cmath>
#include <gentianramp/core/invariant.hpp>
#include <gentianramp/core/log.hpp>
#include <gentianramp/core/time_order.hpp>
#include <gentianramp/http/address.hpp>
#include <gentianramp/registry/packed_text.hpp>
#include <limits>
#include <map>

namespace gentianramp {

namespace {

ReportedStage stageOf(std::uint32_t number)
{
    const bool known = number <= static_cast<std::uint32_t>(ReportedStage::Prefill);
    return known ? static_cast<ReportedStage>(number) : ReportedStage::Unknown;
}

/// Rounds to thousandths within the range of a message's figure.
std::uint32_t thousandths(double value)
{
    return static_cast<std::uint32_t>(std::lround(
        std::clamp(value * 1000, 0.0, double{std::numeric_limits<std::uint32_t>::max()})));
}

/// Of an unknown number: Cleared, which blames nothing.
PartSuspicion suspicionOf(std::uint32_t number)
{
    const bool known = number <= static_cast<std::uint32_t>(PartSuspicion::Cleared);
    return known ? static_cast<PartSuspicion>(number) : PartSuspicion::Cleared;
}

/// Age of what restricts others, such as a limit or a crash: nothing is newer than the present, and
/// what is dated after it must not expire early.
std::uint32_t evidenceAgeMs(TimePoint time, TimePoint now)
{
    return messageAgeMs(ageOf(time, now, "registry.evidence_not_after_now").value_or(Duration{}));
}

proto::ListedBackend toProto(const ListedServer &server)
{
    proto::ListedBackend backend;
    backend.set_id(server.id.value());
    backend.set_service(server.service);
    backend.set_address(server.host + ':' + std::to_string(server.port));
    backend.set_data_centre(server.dataCentre.value());
    backend.set_slots(server.slots);
    backend.set_draining(server.draining);
    backend.set_prefill(server.prefillOnly);
    backend.set_born_ms(server.startedAtMs);
    backend.set_cold_ms(server.warmUpLeftMs);
    backend.set_engine(server.engine);
    backend.set_software_version(server.softwareVersion);
    backend.set_spot(server.spot);
    return backend;
}

std::vector<ListedServer> serversIn(const proto::BackendList &list)
{
    std::vector<ListedServer> servers;
    for (const proto::ListedBackend &backend : list.backends()) {
        const std::optional<HttpAddress> address = parseHttpAddress(backend.address());
        if (!address)
            continue;
        servers.push_back({.id = BackendId(backend.id()),
                           .service = backend.service(),
                           .host = address->host,
                           .port = address->port,
                           .dataCentre = DataCentreId(backend.data_centre()),
                           .slots = backend.slots(),
                           .draining = backend.draining(),
                           .engine = backend.engine(),
                           .prefillOnly = backend.prefill(),
                           .startedAtMs = backend.born_ms(),
                           .warmUpLeftMs = backend.cold_ms(),
                           .softwareVersion = backend.software_version(),
                           .spot = backend.spot()});
    }
    return servers;
}

double finiteOrZero(double value)
{
    return std::isfinite(value) ? std::max(value, 0.0) : 0;
}

proto::RequestLimit toProto(const RequestLimit &limit, TimePoint now)
{
    proto::RequestLimit message;
    message.set_server(limit.server.value());
    message.set_born_ms(limit.startedAtMs);
    message.set_service(limit.service);
    message.set_ended(!limit.perSecond);
    if (limit.perSecond)
        message.set_per_second(usableLimit(*limit.perSecond));
    message.set_age_ms(evidenceAgeMs(limit.statedAt, now));
    return message;
}

RequestLimit fromProto(const proto::RequestLimit &message, TimePoint now)
{
    return {.server = BackendId(message.server()),
            .startedAtMs = message.born_ms(),
            .service = message.service(),
            .perSecond
            = message.ended() ? std::nullopt : std::optional(finiteOrZero(message.per_second())),
            .statedAt = now - std::chrono::milliseconds(message.age_ms())};
}

proto::InstanceDemand toProto(const ReportedDemand &demand, TimePoint now)
{
    proto::InstanceDemand message;
    message.set_age_ms(evidenceAgeMs(demand.reportedAt, now));
    for (const auto &[service, perSecond] : demand.perSecond) {
        proto::ServiceDemand &entry = *message.add_services();
        entry.set_service(service);
        entry.set_requests(thousandths(perSecond));
    }
    for (const LimitHolding &holding : demand.holdings) {
        proto::LimitHolding &entry = *message.add_holdings();
        entry.set_server(holding.server.value());
        entry.set_born_ms(holding.startedAtMs);
        entry.set_account(holding.account);
        entry.set_applied(holding.applied);
        entry.set_remaining(holding.remaining);
    }
    return message;
}

ReportedDemand fromProto(const proto::InstanceDemand &message, TimePoint now)
{
    ReportedDemand demand;
    demand.reportedAt = now - std::chrono::milliseconds(message.age_ms());
    for (const proto::ServiceDemand &entry : message.services())
        demand.perSecond[entry.service()] = entry.requests() / 1000.0;
    for (const proto::LimitHolding &entry : message.holdings())
        demand.holdings.push_back({BackendId(entry.server()), entry.born_ms(), entry.account(),
                                   entry.applied(), finiteOrZero(entry.remaining())});
    return demand;
}

} // namespace

std::uint32_t messageAgeMs(Duration age)
{
    checkInvariant(age >= Duration{}, "registry.age_not_below_zero");
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(toMilliseconds(age), 0, OldestMessageAgeMs));
}

std::uint32_t freshnessAgeMs(TimePoint time, TimePoint now)
{
    const std::optional<Duration> age = ageOf(time, now, "registry.state_not_after_now");
    return age ? messageAgeMs(*age) : OldestMessageAgeMs;
}

proto::LimitReports toProto(const LimitReports &reports, TimePoint now)
{
    proto::LimitReports message;
    for (const RequestLimit &limit : reports.limits)
        *message.add_limits() = toProto(limit, now);
    for (const auto &[instance, demand] : reports.demands) {
        proto::InstanceDemand &entry = *message.add_demands();
        entry = toProto(demand, now);
        entry.set_instance(instance.value());
    }
    return message;
}

LimitReports fromProto(const proto::LimitReports &message, TimePoint now)
{
    LimitReports reports;
    for (const proto::RequestLimit &limit : message.limits())
        reports.limits.push_back(fromProto(limit, now));
    for (const proto::InstanceDemand &entry : message.demands())
        reports.demands[InstanceId(entry.instance())] = fromProto(entry, now);
    return reports;
}

proto::LimitTable toProto(const LimitTable &table, TimePoint now)
{
    proto::LimitTable message;
    message.set_age_ms(evidenceAgeMs(table.grantedAt, now));
    message.set_term(table.term);
    std::map<std::pair<BackendId, std::int64_t>, std::uint32_t> indices;
    for (const RequestLimit &limit : table.limits) {
        const auto index = static_cast<std::uint32_t>(message.limits_size());
        indices[{limit.server, limit.startedAtMs}] = index;
        *message.add_limits() = toProto(limit, now);
    }
    for (const LimitGrant &grant : table.grants) {
        const auto index = indices.find({grant.server, grant.startedAtMs});
        if (index == indices.end())
            continue;
        proto::LimitGrant &entry = *message.add_grants();
        entry.set_limit(index->second);
        entry.set_instance(grant.instance.value());
        entry.set_account(grant.account);
        entry.set_total(grant.total);
    }
    return message;
}

LimitTable fromProto(const proto::LimitTable &message, TimePoint now)
{
    LimitTable table{.term = message.term(),
                     .grantedAt = now - std::chrono::milliseconds(message.age_ms()),
                     .limits = {},
                     .grants = {}};
    for (const proto::RequestLimit &limit : message.limits())
        table.limits.push_back(fromProto(limit, now));
    for (const proto::LimitGrant &entry : message.grants()) {
        if (entry.limit() >= table.limits.size())
            continue;
        const RequestLimit &limit = table.limits[entry.limit()];
        table.grants.push_back({limit.server, limit.startedAtMs, InstanceId(entry.instance()),
                                entry.account(), entry.total()});
    }
    return table;
}

void addToProto(const std::vector<RequestLimit> &limits, const ReportedDemand &demand,
                proto::FeedRequest &request, TimePoint now)
{
    for (const RequestLimit &limit : limits)
        *request.add_limits() = toProto(limit, now);
    if (demand != ReportedDemand())
        *request.mutable_demand() = toProto(demand, now);
}

LimitReports limitReports(const proto::FeedRequest &request, const InstanceId &sender,
                          TimePoint now)
{
    LimitReports reports;
    for (const proto::RequestLimit &limit : request.limits())
        reports.limits.push_back(fromProto(limit, now));
    if (request.has_demand())
        reports.demands[sender] = fromProto(request.demand(), now);
    return reports;
}

proto::BackendList toProto(const ListingChange &change)
{
    proto::BackendList list;
    for (const ListedServer &server : change.changed)
        *list.add_backends() = toProto(server);
    if (change.baseDigest == 0) {
        proto::BackendList whole;
        whole.set_packed_backends(packText(list.SerializeAsString()));
        return whole;
    }
    list.set_base_digest(change.baseDigest);
    for (const BackendId &id : change.removed)
        list.add_gone(id.value());
    return list;
}

std::optional<ListingChange> fromProto(const proto::BackendList &list, std::uint64_t digest)
{
    ListingChange change{.baseDigest = list.base_digest(), .newDigest = digest};
    for (const std::string &id : list.gone())
        change.removed.emplace_back(id);
    if (list.packed_backends().empty()) {
        change.changed = serversIn(list);
        return change;
    }
    const Result<std::string> bytes = unpackText(list.packed_backends());
    proto::BackendList whole;
    if (!bytes || !whole.ParseFromString(*bytes)) {
        logError("backend_list_damaged", {{"digest", digest}, {"reason", bytes.message()}});
        return std::nullopt;
    }
    change.changed = serversIn(whole);
    return change;
}

proto::LoadTable toProto(const LoadChange &change, TimePoint now)
{
    proto::LoadTable table;
    table.set_age_ms(freshnessAgeMs(change.takenAt, now));
    table.set_epoch(change.epoch);
    table.set_base_version(change.baseVersion);
    table.set_version(change.newVersion);
    for (const BackendId &engine : change.removed)
        table.add_gone(engine.value());
    for (const ReportedLoad &load : change.changed) {
        proto::EngineLoad &engine = *table.add_engines();
        engine.set_id(load.engine.value());
        engine.set_waiting(load.waiting);
        engine.set_running(load.running);
        engine.set_silent(load.silent);
        engine.set_changing(load.changing);
        engine.set_stage(static_cast<std::uint32_t>(load.stage));
        engine.set_speed(thousandths(load.speed));
        engine.set_slowness(load.slownessPercent);
    }
    return table;
}

LoadChange fromProto(const proto::LoadTable &table, TimePoint now)
{
    LoadChange change{.epoch = table.epoch(),
                      .baseVersion = table.base_version(),
                      .newVersion = table.version(),
                      .takenAt = now - std::chrono::milliseconds(table.age_ms())};
    for (const std::string &engine : table.gone())
        change.removed.emplace_back(engine);
    for (const proto::EngineLoad &engine : table.engines())
        change.changed.push_back({BackendId(engine.id()), engine.waiting(), engine.running(),
                                  engine.silent(), engine.changing(), stageOf(engine.stage()),
                                  engine.speed() / 1000.0, engine.slowness()});
    return change;
}

proto::CrashReports toProto(const CrashReports &reports, TimePoint now)
{
    proto::CrashReports message;
    for (const ServerCrash &crash : reports.crashes) {
        proto::ServerCrash &entry = *message.add_crashes();
        entry.set_server(crash.server.value());
        entry.set_born_ms(crash.startedAtMs);
        entry.set_service(crash.service);
        entry.set_age_ms(evidenceAgeMs(crash.crashedAt, now));
        for (const auto &[number, part] : crash.parts) {
            proto::CrashPart &added = *entry.add_parts();
            added.set_part(number);
            added.set_position(part.position);
            added.set_suspicion(static_cast<std::uint32_t>(part.suspicion));
        }
        entry.set_service_works(crash.worksSince.has_value());
        if (crash.worksSince)
            entry.set_works_age_ms(evidenceAgeMs(*crash.worksSince, now));
    }
    for (const PartTrial &trial : reports.trials) {
        proto::PartTrial &entry = *message.add_trials();
        entry.set_part(trial.part);
        entry.set_number(trial.number);
        entry.set_instance(trial.instance.value());
        entry.set_age_ms(evidenceAgeMs(trial.grantedAt, now));
    }
    return message;
}

CrashReports fromProto(const proto::CrashReports &message, TimePoint now)
{
    CrashReports reports;
    for (const proto::ServerCrash &entry : message.crashes()) {
        ServerCrash crash{.server = BackendId(entry.server()),
                          .startedAtMs = entry.born_ms(),
                          .service = entry.service(),
                          .crashedAt = now - std::chrono::milliseconds(entry.age_ms())};
        if (entry.service_works())
            crash.worksSince = now - std::chrono::milliseconds(entry.works_age_ms());
        for (const proto::CrashPart &part : entry.parts())
            crash.parts[part.part()] = {suspicionOf(part.suspicion()), part.position()};
        reports.crashes.push_back(std::move(crash));
    }
    for (const proto::PartTrial &entry : message.trials())
        reports.trials.push_back({.part = entry.part(),
                                  .number = entry.number(),
                                  .instance = InstanceId(entry.instance()),
                                  .grantedAt = now - std::chrono::milliseconds(entry.age_ms())});
    return reports;
}

proto::EntryProcesses toProto(const std::vector<PeerInstance> &peers)
{
    proto::EntryProcesses message;
    for (const PeerInstance &peer : peers) {
        proto::EntryProcess &entry = *message.add_processes();
        entry.set_instance(peer.instance.value());
        entry.set_data_centre(peer.dataCentre.value());
        entry.set_cut_off(peer.cutOff);
    }
    return message;
}

std::vector<PeerInstance> fromProto(const proto::EntryProcesses &message)
{
    std::vector<PeerInstance> peers;
    for (const proto::EntryProcess &entry : message.processes())
        peers.push_back(
            {InstanceId(entry.instance()), DataCentreId(entry.data_centre()), entry.cut_off()});
    return peers;
}

void addToProto(const ServiceDelays &delays,
                google::protobuf::RepeatedPtrField<proto::StageDelays> &list)
{
    for (const auto &[service, delay] : delays) {
        proto::StageDelays &entry = *list.Add();
        entry.set_service(service);
        entry.set_requests(thousandths(delay.requests));
        entry.set_prefill(thousandths(delay.prefill));
        entry.set_decode(thousandths(delay.decode));
        entry.set_prefill_work(
            static_cast<std::uint32_t>(std::lround(std::clamp(delay.prefillWork, 0.0, 4e9))));
        entry.set_streams(thousandths(delay.streams));
    }
}

ServiceDelays fromProto(const google::protobuf::RepeatedPtrField<proto::StageDelays> &list)
{
    ServiceDelays delays;
    for (const proto::StageDelays &entry : list)
        delays[entry.service()] = {.requests = entry.requests() / 1000.0,
                                   .prefill = entry.prefill() / 1000.0,
                                   .decode = entry.decode() / 1000.0,
                                   .prefillWork = static_cast<double>(entry.prefill_work()),
                                   .streams = entry.streams() / 1000.0};
    return delays;
}

proto::InstanceUsage toProto(const InstanceUsage &usage)
{
    proto::InstanceUsage message;
    message.set_instance(usage.instance.value());
    message.set_incarnation(usage.incarnation);
    message.set_sequence(usage.sequence);
    message.set_complete_ms(usage.completeMs);
    for (const auto &[window, counts] : usage.windows) {
        proto::UsageWindow &entry = *message.add_windows();
        entry.set_window(window);
        for (const auto &[customer, count] : counts) {
            proto::CustomerCount &figures = *entry.add_counts();
            figures.set_customer(customer);
            figures.set_begun(count.begun);
            figures.set_arrived(count.arrived);
            figures.set_work(count.work);
        }
    }
    return message;
}

InstanceUsage fromProto(const proto::InstanceUsage &message)
{
    InstanceUsage usage{.instance = InstanceId(message.instance()),
                        .incarnation = message.incarnation(),
                        .sequence = message.sequence(),
                        .completeMs = message.complete_ms(),
                        .windows = {}};
    for (const proto::UsageWindow &entry : message.windows()) {
        for (const proto::CustomerCount &figures : entry.counts())
            usage.windows[entry.window()][figures.customer()]
                = {figures.begun(), figures.arrived(), figures.work()};
    }
    return usage;
}

proto::SpeedObservation toProto(const SpeedObservation &observation)
{
    proto::SpeedObservation message;
    message.set_engine(observation.engine.value());
    message.set_born_ms(observation.startedAtMs);
    message.set_log_ratio(
        static_cast<std::int32_t>(std::lround(std::clamp(1000 * observation.logRatio, -1e9, 1e9))));
    message.set_count(observation.count);
    return message;
}

SpeedObservation fromProto(const proto::SpeedObservation &message)
{
    return {.engine = BackendId(message.engine()),
            .startedAtMs = message.born_ms(),
            .logRatio = message.log_ratio() / 1000.0,
            .count = message.count()};
}

void addToProto(const VersionReport &report, proto::FeedAnswer &answer)
{
    // 0 says that nothing is stated.
    answer.set_versions_known_ms(std::max(messageAgeMs(report.knownFor), 1U));
    for (const ListedVersion &listed : report.versions) {
        proto::ListedVersion &entry = *answer.add_versions();
        entry.set_service(listed.service);
        entry.set_version(listed.version);
        entry.set_since_ms(messageAgeMs(listed.listedFor));
        if (listed.goneFor)
            entry.set_gone_ms(1 + messageAgeMs(*listed.goneFor));
    }
}

std::optional<VersionReport> versionReport(const proto::FeedAnswer &answer)
{
    if (answer.versions_known_ms() == 0)
        return std::nullopt;
    VersionReport report{.knownFor = std::chrono::milliseconds(answer.versions_known_ms()),
                         .versions = {}};
    for (const proto::ListedVersion &entry : answer.versions()) {
        ListedVersion listed{.service = entry.service(),
                             .version = entry.version(),
                             .listedFor = std::chrono::milliseconds(entry.since_ms()),
                             .goneFor = std::nullopt};
        if (entry.gone_ms() != 0)
            listed.goneFor = std::chrono::milliseconds(entry.gone_ms() - 1);
        report.versions.push_back(std::move(listed));
    }
    return report;
}

} // namespace gentianramp
