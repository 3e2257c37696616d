// Refusals: every request that did not get an answer of a target.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "framework/types/ids.h"

namespace burdocklock::refusals {

enum class refusal_reason {
  kMalformedRequest,
  kRequestTooLarge,
  kUnknownKey,
  kPoolNotAllowed,
  kUnknownPool,
  kUnknownRoute,
  kNoConfiguration,
  kOverShare,
  kQueueFull,
  kQueueTimeout,
  kNoTarget,
  kDraining,
  kTargetFailed,
  kTargetTimeout,
  kDeadline,
};

inline constexpr refusal_reason kLastRefusalReason = refusal_reason::kDeadline;

/// Whether a target may have begun the work.
enum class run_state {
  /// Certainly not: no byte reached a target, or the target said so.
  kNotRun,
  kUnknown,
};

constexpr const char* ToString(run_state run) {
  return run == run_state::kNotRun ? "not_run" : "unknown";
}

/// Name of a reason as callers, logs and metrics see it.
const char* ToString(refusal_reason reason);
/// HTTP status with which a reason is answered.
unsigned HttpStatus(refusal_reason reason);
/// As above, but 429 and 503 only if the work certainly has not run, and 503
/// whenever that is certain.
unsigned HttpStatus(refusal_reason reason, run_state run);
/// One sentence for people.
const char* Describe(refusal_reason reason);

struct refusal {
  refusal_seq id;
  /// Empty if the caller could not be identified.
  customer_id customer;
  std::optional<request_seq> request;
  refusal_reason reason = refusal_reason::kMalformedRequest;
  run_state run = run_state::kNotRun;
  /// Advice to the caller; absent where a repeat cannot help.
  std::optional<std::chrono::milliseconds> retry_after;
  std::string detail;
};

}  // namespace burdocklock::refusals
