// Possible outcomes of a request.
#pragma once

#include <variant>

#include "refusals/types/refusal.h"
#include "routing/types/attempt.h"

namespace burdocklock::routing {

/// The caller received the complete response.
struct outcome_completed {};

/// The caller received a problem document and no part of a response.
struct outcome_refused {
  refusals::refusal_reason reason = refusals::refusal_reason::kTargetFailed;
  refusals::run_state run = refusals::run_state::kUnknown;
};

/// The caller received the target's error response.
struct outcome_target_failure {};

/// The response was cut off after part of it was delivered; an error event in
/// the stream says so.
struct outcome_cut {
  refusals::refusal_reason reason = refusals::refusal_reason::kTargetFailed;
};

/// The caller disconnected before the request ended.
struct outcome_caller_left {};

using outcome = std::variant<outcome_completed,
                             outcome_target_failure,
                             outcome_refused,
                             outcome_cut,
                             outcome_caller_left>;

/// Name of the outcome in logs and metrics.
inline const char* OutcomeName(const outcome& outcome) {
  struct namer {
    const char* operator()(const outcome_completed&) { return "completed"; }
    const char* operator()(const outcome_target_failure&) {
      return "target_failure";
    }
    const char* operator()(const outcome_refused&) { return "refused"; }
    const char* operator()(const outcome_cut&) { return "cut"; }
    const char* operator()(const outcome_caller_left&) { return "caller_left"; }
  };
  return std::visit(namer{}, outcome);
}

}  // namespace burdocklock::routing
