#pragma once

#include <gentianramp/core/strong_id.hpp>

namespace gentianramp {

/// Name of one instance of the system, unique over all data centres.
using InstanceId = StrongId<struct InstanceIdTag, std::string>;
/// Name of a data centre (a site).
using DataCentreId = StrongId<struct DataCentreIdTag, std::string>;
/// Name of a backend server: an engine or a plain-service worker.
using BackendId = StrongId<struct BackendIdTag, std::string>;
/// Name of a service that callers address.
using ServiceId = StrongId<struct ServiceIdTag, std::string>;
/// Name of a customer, found from its bearer key.
using CustomerId = StrongId<struct CustomerIdTag, std::string>;
/// Name of a model.
using ModelId = StrongId<struct ModelIdTag, std::string>;
/// Identifies one request of a caller over all its attempts.
using RequestId = StrongId<struct RequestIdTag, std::string>;
/// Idempotency key that a caller gave to a request.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag, std::string>;
/// Identifies an operator's command over all its resends.
using CommandId = StrongId<struct CommandIdTag, std::string>;

/// Number of a dispatch attempt of one request, from 1.
using Attempt = StrongId<struct AttemptTag, std::uint32_t>;
/// Number of one life of a process; a restarted process has a larger one.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// Number that orders holders of authority; an engine refuses smaller ones.
using FencingNumber = StrongId<struct FencingNumberTag, std::uint64_t>;
/// Number of an accepted configuration, from 1; 0 means none.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;
/// Election term of the replicated log.
using Term = StrongId<struct TermTag, std::uint64_t>;
/// Position in the replicated log, from 1.
using LogIndex = StrongId<struct LogIndexTag, std::uint64_t>;

} // namespace gentianramp
