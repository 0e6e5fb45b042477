#pragma once

/// Names of header fields between callers and entry instances.
namespace gentianramp::header {

constexpr const char *Verdict = "Gentianramp-Verdict";
constexpr const char *RequestId = "Gentianramp-Request-Id";
constexpr const char *Attempt = "Gentianramp-Attempt";
constexpr const char *TimeoutMs = "Gentianramp-Timeout-Ms";
constexpr const char *Instance = "Gentianramp-Instance";
constexpr const char *IdempotencyKey = "Idempotency-Key";
constexpr const char *LastEventId = "Last-Event-ID";

} // namespace gentianramp::header
