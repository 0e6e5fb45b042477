#pragma once

#include <gentianramp/registry/backend_listing.hpp>

#include "gentianramp/registry/generated/registry.pb.h"

namespace gentianramp {

proto::BackendList toProto(const std::vector<ListedServer> &servers);
/// Entries without a usable address are left out.
std::vector<ListedServer> fromProto(const proto::BackendList &list);

proto::LoadTable toProto(const LoadReports &reports, TimePoint now);
LoadReports fromProto(const proto::LoadTable &table, TimePoint now);

} // namespace gentianramp
