// Events of one dispatch attempt, reported by the traffic threads.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "framework/types/ids.h"
#include "framework/types/time.h"

namespace burdocklock::routing {

enum class failure_kind {
  kConnectFailed,
  /// This daemon has no file descriptors, ports or memory for a connection.
  kNoResources,
  /// The connection was closed or reset before the response was complete.
  kBroken,
  /// The target reported that it rejected the request without executing it.
  kNotAdmitted,
  /// The target returned a 5xx response.
  kTargetError,
  /// The address now belongs to another target or another incarnation.
  kOtherTarget,
  /// The response identified another request or could not be parsed.
  kWrongAnswer,
  kAnswerTooLarge,
  /// The caller stopped reading or its connection broke.
  kCallerLost,
  /// The router cancelled the attempt.
  kCancelled,
};

constexpr const char* ToString(failure_kind kind) {
  switch (kind) {
    case failure_kind::kConnectFailed:
      return "connect_failed";
    case failure_kind::kNoResources:
      return "no_resources";
    case failure_kind::kBroken:
      return "broken";
    case failure_kind::kNotAdmitted:
      return "not_admitted";
    case failure_kind::kTargetError:
      return "target_error";
    case failure_kind::kOtherTarget:
      return "other_target";
    case failure_kind::kWrongAnswer:
      return "wrong_answer";
    case failure_kind::kAnswerTooLarge:
      return "answer_too_large";
    case failure_kind::kCallerLost:
      return "caller_lost";
    case failure_kind::kCancelled:
      return "cancelled";
  }
  return "cancelled";
}

/// Why a failed attempt is not followed by another one.
enum class retry_denial {
  /// The request is over: its time has passed or its caller has gone.
  kEnded,
  /// Another target would fail in the same way.
  kSameElsewhere,
  /// It may have run, and must not run twice or cannot be resumed.
  kNotRepeatable,
  kNoAttemptLeft,
  kNoBudget,
  /// Another target might end with it.
  kMayEndTarget,
  /// No target of the software version that began the stream serves.
  kVersionGone,
};

constexpr const char* ToString(retry_denial denial) {
  switch (denial) {
    case retry_denial::kEnded:
      return "ended";
    case retry_denial::kSameElsewhere:
      return "same_elsewhere";
    case retry_denial::kNotRepeatable:
      return "not_repeatable";
    case retry_denial::kNoAttemptLeft:
      return "no_attempt_left";
    case retry_denial::kNoBudget:
      return "no_budget";
    case retry_denial::kVersionGone:
      return "version_gone";
    case retry_denial::kMayEndTarget:
      return "may_end_target";
  }
  return "ended";
}

/// Token counts that the target reports at the end of a response.
struct usage {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
};

/// What the head of a target's response says of the target.
struct answer_head {
  /// The answer may have begun long before its end is reported.
  time_point received{};
  /// Requests per second that the target takes from all routers together, if
  /// the response names a limit.
  std::optional<double> rate_limit = std::nullopt;
  /// The target is about to end and wants no further requests.
  bool leaving = false;
  /// For how long from `received` the target wants no further requests from
  /// this router; absent if it did not ask.
  std::optional<duration> pause = std::nullopt;
};

/// The first byte of the request is about to be written to the target.
struct attempt_sending {};

/// The head of a response has arrived and asks for less work.
struct attempt_head_read {
  answer_head head = {};
};

/// The first part of the response has arrived.
struct attempt_first_output {
  answer_head head = {};
};

/// Output arrived since the last report, or the caller is reading slowly, in
/// which case `tokens` may be zero.
struct attempt_progress {
  std::uint32_t tokens = 0;
};

/// The complete response was delivered to the caller.
struct attempt_completed {
  std::optional<usage> reported;
};

struct attempt_failed {
  failure_kind kind = failure_kind::kBroken;
  /// At least one byte of the request may have reached the target.
  bool sent = false;
  /// At least one byte of the response was forwarded to the caller.
  bool delivered = false;
  /// Operation that failed, such as "read answer".
  std::string step;
  std::string detail;
  /// Status of the target's response, if it was received whole and nothing has
  /// been written to the caller.
  std::optional<unsigned> answer_status = std::nullopt;
  /// Absent if no response arrived.
  std::optional<answer_head> head = std::nullopt;
  /// The target's address refused a connection right after the failure.
  bool target_ended = false;
};

using attempt_event = std::variant<attempt_sending,
                                   attempt_head_read,
                                   attempt_first_output,
                                   attempt_progress,
                                   attempt_completed,
                                   attempt_failed>;

}  // namespace burdocklock::routing
