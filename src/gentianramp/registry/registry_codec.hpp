#pragma once

#include <gentianramp/peers/peer_instance.hpp>
#include <gentianramp/registry/crash_evidence.hpp>
#include <gentianramp/registry/engine_speeds.hpp>
#include <gentianramp/registry/limit_exchange.hpp>
#include <gentianramp/registry/listed_versions.hpp>
#include <gentianramp/registry/listing_history.hpp>
#include <gentianramp/registry/stage_delays.hpp>
#include <gentianramp/registry/versioned_load_table.hpp>
#include <gentianramp/usage/usage_counts.hpp>
#include <limits>

#include "gentianramp/registry/generated/registry.pb.h"

namespace gentianramp {

/// Greatest age in a message, in milliseconds; one more says that there is none.
constexpr std::uint32_t OldestMessageAgeMs = std::numeric_limits<std::uint32_t>::max() - 1;

/// @p age in whole milliseconds, rounded down and bounded to 0 and OldestMessageAgeMs.
std::uint32_t messageAgeMs(Duration age);

/// Age of what others rely on while it is fresh, such as a list. What is dated after @p now is a
/// broken invariant and counts as the oldest.
std::uint32_t freshnessAgeMs(TimePoint time, TimePoint now);

/// Full listings are packed.
proto::BackendList toProto(const ListingChange &change);
/// Skips entries whose address is invalid; returns no value if the packed form is damaged.
std::optional<ListingChange> fromProto(const proto::BackendList &list, std::uint64_t digest);

proto::LoadTable toProto(const LoadChange &change, TimePoint now);
LoadChange fromProto(const proto::LoadTable &table, TimePoint now);

proto::CrashReports toProto(const CrashReports &reports, TimePoint now);
CrashReports fromProto(const proto::CrashReports &reports, TimePoint now);

proto::LimitReports toProto(const LimitReports &reports, TimePoint now);
LimitReports fromProto(const proto::LimitReports &message, TimePoint now);

proto::LimitTable toProto(const LimitTable &table, TimePoint now);
LimitTable fromProto(const proto::LimitTable &message, TimePoint now);

/// Limits and demand that an entry process reports with its request.
void addToProto(const std::vector<RequestLimit> &limits, const ReportedDemand &demand,
                proto::FeedRequest &request, TimePoint now);
LimitReports limitReports(const proto::FeedRequest &request, const InstanceId &sender,
                          TimePoint now);

proto::EntryProcesses toProto(const std::vector<PeerInstance> &peers);
std::vector<PeerInstance> fromProto(const proto::EntryProcesses &message);

void addToProto(const ServiceDelays &delays,
                google::protobuf::RepeatedPtrField<proto::StageDelays> &list);
ServiceDelays fromProto(const google::protobuf::RepeatedPtrField<proto::StageDelays> &list);

proto::InstanceUsage toProto(const InstanceUsage &usage);
InstanceUsage fromProto(const proto::InstanceUsage &message);

proto::SpeedObservation toProto(const SpeedObservation &observation);
SpeedObservation fromProto(const proto::SpeedObservation &message);

void addToProto(const VersionReport &report, proto::FeedAnswer &answer);
/// Empty: the sender states none.
std::optional<VersionReport> versionReport(const proto::FeedAnswer &answer);

} // namespace gentianramp
