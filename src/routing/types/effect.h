// Actions that the request router requests from its owner.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "crashes/types/evidence.h"
#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "refusals/types/refusal.h"
#include "routing/types/attempt.h"
#include "routing/types/outcome.h"
#include "streams/types/stream_origin.h"

namespace burdocklock::routing {

enum class connection_choice {
  kReuseAllowed,
  /// For retries and for requests that may run at most once, since an idle
  /// connection may be dead without having been closed.
  kNewOnly,
};

/// Sends the request to a target.
struct start_attempt {
  request_seq request;
  attempt_number attempt;
  target_id target;
  incarnation life;
  endpoint address;
  connection_choice connection = connection_choice::kReuseAllowed;
  /// The attempt resumes a stream that was interrupted at another target.
  bool resumes = false;
  /// Another target from which this one can copy part of the prompt.
  std::optional<endpoint> copy_from;
};

/// Cancels a running attempt, which must then report `attempt_failed`.
struct cancel_attempt {
  request_seq request;
  attempt_number attempt;
};

/// Responds to the caller with a problem document.
struct refuse_request {
  refusals::refusal refusal;
};

/// Forwards the target's error response to the caller.
struct forward_error_response {
  request_seq request;
};

/// Ends a partly delivered response with an error event in the stream. The
/// refusal records the reason.
struct truncate_response {
  refusals::refusal refusal;
};

/// From where it is known where a stream began that is taken up.
enum class origin_source {
  kRecord,
  /// The targets of the pool name no versions.
  kNoVersions,
};

enum class routing_reason { kFirstChoice, kRetry };

/// Log record of a dispatch decision.
struct routing_decision {
  request_seq request;
  customer_id customer;
  pool_id pool;
  attempt_number attempt;
  target_id target;
  std::vector<target_id> considered;
  routing_reason reason = routing_reason::kFirstChoice;
  duration waited{};
  /// For generations: prompt tokens that the target is expected to compute for
  /// this request, and for the requests ahead of it.
  std::uint32_t unread_tokens = 0;
  std::uint64_t tokens_before = 0;
  /// Prompt tokens that the target can copy from another one, and its address.
  std::uint32_t copied_tokens = 0;
  std::optional<endpoint> copy_from;
  /// The customer exceeded its share, but the target had spare capacity.
  bool over_share = false;
  /// Version of the target's software.
  software_version version = {};
  /// Set for a stream that its caller takes up. It goes on where it began.
  std::optional<origin_source> taken_up_from = std::nullopt;
};

/// Log record of a failed attempt.
struct attempt_failure_report {
  request_seq request;
  attempt_number attempt;
  target_id target;
  failure_kind kind = failure_kind::kBroken;
  std::string step;
  std::string detail;
  /// Why it is not retried; absent if it is.
  std::optional<retry_denial> retry_denied;
  /// Why the router cancelled the attempt, if it did.
  std::optional<refusals::refusal_reason> cancelled_for;
  /// Parts of the prompt that other prompts may share.
  std::vector<std::uint64_t> shared_parts;
  std::optional<request_fingerprint> fingerprint;
  /// Part of the response had arrived.
  bool output_began = false;
  /// The target's address refuses connections since.
  bool target_ended = false;
};

/// The request has ended.
struct request_ended {
  request_seq request;
  customer_id customer;
  pool_id pool;
  outcome result;
  attempt_number attempts;
  duration total{};
  /// Time from arrival to the first output, if there was any.
  std::optional<duration> first_output;
  /// Target of the last attempt; empty if there was none.
  target_id target;
  /// The caller had received part of the stream in an earlier try.
  bool taken_up = false;
};

/// The first event of a resumable stream has arrived. Emitted once for each
/// request, so that where a stream began never changes.
struct stream_began {
  streams::stream_record record;
  bool taken_up = false;
};

/// A caller takes up a stream that began elsewhere; `OnStreamOrigin` answers.
struct ask_stream_origin {
  stream_key key;
};

/// A target's admission limit has changed.
struct ramp_changed {
  target_id target;
  std::uint32_t limit = 0;
  std::string cause;
};

/// The number of a target's slots that this router may use has changed.
struct lease_changed {
  target_id target;
  std::uint32_t previous = 0;
  std::uint32_t limit = 0;
  /// Coordinator that granted the lease.
  daemon_id lessor;
};

/// This daemon started or stopped coordinating the targets of a data centre.
struct coordinator_changed {
  data_centre_id data_centre;
  bool coordinates = false;
};

/// A target's answers name another rate limit than before, or none.
struct rate_limit_changed {
  target_id target;
  /// Requests per second from all routers together.
  std::optional<double> per_second;
};

/// A target said in an answer that it leaves; it gets no further requests.
struct target_leaves {
  target_id target;
  incarnation life;
};

/// A target asked this router for no requests for some time.
struct target_pause_began {
  target_id target;
  duration remaining{};
};

/// Requests with a suspect are refused from now on, or no longer.
struct suspect_block_changed {
  crashes::pool_suspect suspect;
  bool blocked = false;
  /// Ends of targets that are blamed on it; 0 if another router did.
  std::size_t target_ends = 0;
  std::uint32_t times_blocked = 0;
  duration remaining{};
};

/// Calls of the pool are refused, as they could not begin in time.
struct pool_short_began {
  pool_id pool;
  /// Requests that begin here per second.
  double begin_per_second = 0;
  /// When the refused call would have begun, and how many wait.
  duration wait{};
  std::size_t waiting = 0;
  std::size_t late = 0;
};

using effect = std::variant<start_attempt,
                            cancel_attempt,
                            refuse_request,
                            forward_error_response,
                            truncate_response,
                            routing_decision,
                            attempt_failure_report,
                            request_ended,
                            ramp_changed,
                            lease_changed,
                            coordinator_changed,
                            suspect_block_changed,
                            rate_limit_changed,
                            stream_began,
                            ask_stream_origin,
                            target_leaves,
                            target_pause_began,
                            pool_short_began>;
using effects = std::vector<effect>;

}  // namespace burdocklock::routing
