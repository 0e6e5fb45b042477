#pragma once

#include <gentianramp/registry/crash_evidence.hpp>
#include <gentianramp/registry/listing_history.hpp>
#include <gentianramp/registry/stage_delays.hpp>
#include <gentianramp/registry/versioned_load_table.hpp>

#include "gentianramp/registry/generated/registry.pb.h"

namespace gentianramp {

/// Full listings are packed.
proto::BackendList toProto(const ListingChange &change);
/// Skips entries whose address is invalid; returns no value if the packed form is damaged.
std::optional<ListingChange> fromProto(const proto::BackendList &list, std::uint64_t digest);

proto::LoadTable toProto(const LoadChange &change, TimePoint now);
LoadChange fromProto(const proto::LoadTable &table, TimePoint now);

proto::CrashReports toProto(const CrashReports &reports, TimePoint now);
CrashReports fromProto(const proto::CrashReports &reports, TimePoint now);

void addToProto(const ServiceDelays &delays,
                google::protobuf::RepeatedPtrField<proto::StageDelays> &list);
ServiceDelays fromProto(const google::protobuf::RepeatedPtrField<proto::StageDelays> &list);

} // namespace gentianramp
