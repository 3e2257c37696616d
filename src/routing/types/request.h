// A request as the routing decisions see it.
#pragma once

#include <cstdint>

#include "framework/types/ids.h"
#include "framework/types/time.h"

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
  customer_id customer;
  pool_id pool;
  call_kind kind = call_kind::kStreamedGeneration;
  /// False for work that may run at most once.
  bool repeatable = true;
  /// Rough size of the prompt; corrected when the target reports usage.
  std::uint32_t prompt_tokens = 0;
};

}  // namespace burdocklock::routing
