// What the request router asks its owner to do.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "refusals/types/refusal.h"
#include "routing/types/attempt.h"
#include "routing/types/outcome.h"

namespace burdocklock::routing {

enum class connection_choice {
  kReuseAllowed,
  /// Set for retries and for work that may run at most once: an idle
  /// connection may have gone silent unnoticed.
  kNewOnly,
};

/// Send the request to a target.
struct start_attempt {
  request_seq request;
  attempt_number attempt;
  target_id target;
  incarnation life;
  endpoint address;
  connection_choice connection = connection_choice::kReuseAllowed;
  /// The attempt goes on with a stream that broke at another target.
  bool resumes = false;
  /// Another target from which this one can copy part of the prompt.
  std::optional<endpoint> copy_from;
};

/// End a running attempt and report `attempt_failed`.
struct cancel_attempt {
  request_seq request;
  attempt_number attempt;
};

/// Answer the caller with a problem document.
struct refuse_request {
  refusals::refusal refusal;
};

/// Pass the target's own failure on to the caller.
struct pass_on_failure {
  request_seq request;
};

/// Tell the caller, within its stream, that the answer is incomplete. The
/// refusal record accounts for it.
struct cut_answer {
  refusals::refusal refusal;
};

enum class routing_reason { kFirstChoice, kRetry };

/// One decision, for the log.
struct routing_decision {
  request_seq request;
  customer_id customer;
  pool_id pool;
  attempt_number attempt;
  target_id target;
  std::vector<target_id> considered;
  routing_reason reason = routing_reason::kFirstChoice;
  duration waited{};
  /// Of a generation: prompt tokens that the target probably has to read for
  /// it, and those of others before it.
  std::uint32_t unread_tokens = 0;
  std::uint64_t tokens_before = 0;
  /// Prompt tokens that it can copy from another target, and from where.
  std::uint32_t copied_tokens = 0;
  std::optional<endpoint> copy_from;
  /// The customer has had its share; there was room to spare.
  bool over_share = false;
};

/// An attempt that ended badly, for the log.
struct attempt_failure_report {
  request_seq request;
  attempt_number attempt;
  target_id target;
  failure_kind kind = failure_kind::kBroken;
  std::string step;
  std::string detail;
  bool will_retry = false;
};

/// The request is over.
struct request_ended {
  request_seq request;
  customer_id customer;
  pool_id pool;
  outcome result;
  attempt_number attempts;
  duration total{};
  /// From arrival to the first output, if there was any.
  std::optional<duration> first_output;
  /// Of the last attempt; empty if there was none.
  target_id target;
};

/// A target's admission limit has changed.
struct ramp_changed {
  target_id target;
  std::uint32_t limit = 0;
  std::string cause;
};

/// This router may use another number of a target's slots.
struct lease_changed {
  target_id target;
  std::uint32_t previous = 0;
  std::uint32_t limit = 0;
  /// The coordinator that decided it.
  daemon_id lessor;
};

/// This daemon has begun or ceased to coordinate a data centre's targets.
struct coordinator_changed {
  data_centre_id data_centre;
  bool coordinates = false;
};

using effect = std::variant<start_attempt,
                            cancel_attempt,
                            refuse_request,
                            pass_on_failure,
                            cut_answer,
                            routing_decision,
                            attempt_failure_report,
                            request_ended,
                            ramp_changed,
                            lease_changed,
                            coordinator_changed>;
using effects = std::vector<effect>;

}  // namespace burdocklock::routing
