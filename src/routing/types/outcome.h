// The ways a request can end.
#pragma once

#include <variant>

#include "refusals/types/refusal.h"
#include "routing/types/attempt.h"

namespace burdocklock::routing {

/// The caller got the whole answer.
struct outcome_completed {};

/// The caller got a problem document and nothing of an answer.
struct outcome_refused {
  refusals::refusal_reason reason = refusals::refusal_reason::kTargetFailed;
  refusals::run_state run = refusals::run_state::kUnknown;
};

/// The caller got the target's own failure.
struct outcome_target_failure {};

/// The answer ended before it was whole; the caller was told so in the stream.
struct outcome_cut {
  refusals::refusal_reason reason = refusals::refusal_reason::kTargetFailed;
};

/// The caller went away first.
struct outcome_caller_left {};

using outcome = std::variant<outcome_completed,
                             outcome_target_failure,
                             outcome_refused,
                             outcome_cut,
                             outcome_caller_left>;

/// Name of an outcome as logs and metrics show it.
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
