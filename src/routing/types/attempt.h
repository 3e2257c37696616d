// Events of one dispatch attempt, reported by the traffic side.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "framework/types/ids.h"

namespace burdocklock::routing {

enum class failure_kind {
  kConnectFailed,
  /// The connection broke or ended before the answer was whole.
  kBroken,
  /// The target said, by its own word, that it did not admit the request.
  kNotAdmitted,
  /// The target answered with a failure of its own (5xx).
  kTargetError,
  /// Another target, or another life of this one, has the address.
  kOtherTarget,
  /// The answer named another request or could not be understood.
  kWrongAnswer,
  kAnswerTooLarge,
  /// The caller stopped reading or its connection broke.
  kCallerLost,
  /// The router asked for the attempt to end.
  kCancelled,
};

constexpr const char* ToString(failure_kind kind) {
  switch (kind) {
    case failure_kind::kConnectFailed:
      return "connect_failed";
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

/// Token counts as reported by the target at the end of an answer.
struct usage {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
};

/// The first byte of the request is about to be written to the target.
struct attempt_sending {};

/// The first piece of the answer has arrived.
struct attempt_first_output {};

/// More output arrived since the last report, or the caller is slow to take
/// it (`tokens` may be zero then).
struct attempt_progress {
  std::uint32_t tokens = 0;
};

/// The whole answer was delivered to the caller.
struct attempt_completed {
  std::optional<usage> reported;
};

struct attempt_failed {
  failure_kind kind = failure_kind::kBroken;
  /// Some byte of the request may have reached the target.
  bool sent = false;
  /// Some byte of the answer was passed on to the caller.
  bool delivered = false;
  /// Where it failed, such as "read answer".
  std::string step;
  std::string detail;
  /// The target's failure is at hand and can be passed on.
  bool has_answer = false;
};

using attempt_event = std::variant<attempt_sending,
                                   attempt_first_output,
                                   attempt_progress,
                                   attempt_completed,
                                   attempt_failed>;

}  // namespace burdocklock::routing
