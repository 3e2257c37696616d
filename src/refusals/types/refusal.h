// Refusals: requests that end with an error of this daemon instead of the whole
// answer of a target.
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
  kRouterBusy,
  kOverShare,
  kQueueFull,
  kQueueTimeout,
  kNoTarget,
  kDraining,
  kTargetFailed,
  kTargetTimeout,
  kDeadline,
  /// A part of the prompt ends targets that process it.
  kPromptBlocked,
  /// The request ends targets each time it is repeated.
  kRequestBlocked,
  /// No target of the software version that began the stream is in service.
  kVersionGone,
  /// Nobody knows where the stream began that the caller takes up.
  kOriginUnknown,
  /// Those who may know it did not answer in time.
  kOriginUnanswered,
  /// The stream began at a service that the route does not use any longer.
  kServiceChanged,
  /// It could not begin in time to end within its latency objective.
  kNoRoomInTime,
};

inline constexpr refusal_reason kLastRefusalReason =
    refusal_reason::kNoRoomInTime;

/// Whether a target may have started executing the request.
enum class run_state {
  /// No byte reached a target, or the target reported that it did not execute.
  kNotRun,
  kUnknown,
};

constexpr const char* ToString(run_state run) {
  return run == run_state::kNotRun ? "not_run" : "unknown";
}

/// Name of the reason in responses, logs and metrics.
const char* ToString(refusal_reason reason);
/// HTTP status of a refusal, regardless of whether the request ran.
unsigned HttpStatus(refusal_reason reason);
/// True if callers take a response with `status` as a guarantee that the
/// request did not run and never will.
bool PromisesNotRun(unsigned status);
/// HTTP status that is consistent with `run`. A status that promises that the
/// request did not run becomes 502 if it may have; 502 and 504 become 503 if it
/// certainly did not.
unsigned HttpStatus(refusal_reason reason, run_state run);
/// Human-readable title, one sentence.
const char* Describe(refusal_reason reason);

struct refusal {
  refusal_seq id;
  /// Empty if the caller could not be identified.
  customer_id customer;
  std::optional<request_seq> request;
  refusal_reason reason = refusal_reason::kMalformedRequest;
  run_state run = run_state::kNotRun;
  /// Value of Retry-After; absent if a retry cannot help or is not safe.
  std::optional<std::chrono::milliseconds> retry_after;
  std::string detail;
};

}  // namespace burdocklock::refusals
