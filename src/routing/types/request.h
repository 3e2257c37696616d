// A request as the routing decisions see it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "targets/types/prompt.h"

namespace burdocklock::routing {

enum class call_kind {
  /// Tokens arrive one by one.
  kStreamedGeneration,
  /// The answer arrives in one piece when the last token is known.
  kWholeGeneration,
  kServiceCall,
};

struct request_spec {
  request_seq id;
  /// The caller's own name of the request; empty if it gave none.
  std::string caller_name;
  customer_id customer;
  pool_id pool;
  call_kind kind = call_kind::kStreamedGeneration;
  /// False for work that may run at most once.
  bool repeatable = true;
  /// Rough size of the prompt; corrected when the target reports usage.
  std::uint32_t prompt_tokens = 0;
  /// From arrival to the final answer; the daemon's limit if absent.
  std::optional<duration> time_limit;
  /// Within this time the answer, or the first event of a stream, is on time.
  std::optional<duration> latency_objective;
  /// Targets on which it may run; the daemon's limit if absent.
  std::optional<std::uint32_t> max_attempts;
  /// A broken stream may go on at another target.
  bool resumable = false;
  std::optional<targets::prompt> prompt;
};

}  // namespace burdocklock::routing
