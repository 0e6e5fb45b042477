#pragma once

#include <cstddef>
#include <gentianramp/core/ids.hpp>
#include <string_view>
#include <vector>

namespace gentianramp {

/// Registry instances that keep the record with a key.
constexpr std::size_t RegistryKeepers = 2;
/// Registry instances to ask for it: one more than keep it, since the set of registry instances may
/// have changed since the record was sent.
constexpr std::size_t RegistryWitnesses = 3;

/// The first @p count of @p instances in the order that the key gives them (rendezvous hashing), so
/// that all instances that know the same ones choose alike.
std::vector<InstanceId> rankedInstances(std::vector<InstanceId> instances, std::string_view key,
                                        std::size_t count);

} // namespace gentianramp
