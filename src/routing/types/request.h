// Properties of a request that routing decisions depend on.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "rollouts/types/outcomes.h"
#include "targets/types/prompt.h"

namespace burdocklock::routing {

enum class call_kind {
  /// Tokens are streamed as they are generated.
  kStreamedGeneration,
  /// The response is sent as a whole after the last token.
  kWholeGeneration,
  kServiceCall,
};

struct request_spec {
  request_seq id;
  /// Request id assigned by the caller; empty if there is none.
  std::string caller_name;
  customer_id customer;
  pool_id pool;
  call_kind kind = call_kind::kStreamedGeneration;
  /// False if the request may run at most once.
  bool repeatable = true;
  /// Estimated prompt length; corrected when the target reports usage.
  std::uint32_t prompt_tokens = 0;
  /// Limit on the time from arrival to the end; the daemon's limit if absent.
  std::optional<duration> time_limit;
  /// How long the caller says it waits, also if that is longer than the limit.
  std::optional<duration> patience = std::nullopt;
  /// Latency target for the response, or for the first event of a stream.
  std::optional<duration> latency_objective;
  /// Number of targets on which it may run; the daemon's limit if absent.
  std::optional<std::uint32_t> max_attempts;
  /// An interrupted stream may be resumed at another target.
  bool resumable = false;
  /// The route, for the comparison of software versions.
  rollouts::route_key route = {};
  std::optional<targets::prompt> prompt;
  /// Absent if a repetition of the request cannot be recognised.
  std::optional<request_fingerprint> fingerprint;
  /// Set if the caller can take the stream up; the same for all tries that
  /// continue it.
  std::optional<stream_key> stream = std::nullopt;
  /// The caller has received part of the stream in an earlier try. Without
  /// `stream` it did not say in which.
  bool taken_up = false;
  /// Pools that the route names, also if none of its new requests goes there;
  /// set if `taken_up`.
  std::vector<pool_id> route_pools = {};
};

}  // namespace burdocklock::routing
