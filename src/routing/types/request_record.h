// What a router knows of a request that has not ended.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "crashes/types/request_suspects.h"
#include "fairness/fair_queue.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "routing/request_lifecycle.h"
#include "routing/types/effect.h"
#include "routing/types/request.h"
#include "streams/types/stream_origin.h"
#include "targets/target_directory.h"

namespace burdocklock::routing {

struct request_record {
  request_spec spec;
  crashes::request_suspects suspects;
  request_lifecycle lifecycle;
  std::optional<targets::slot_grant> grant;
  /// Where the request goes on once its attempt has been cancelled for the
  /// target's silence; a token of the retry budget is taken for it.
  std::optional<targets::choice> continuation;
  /// Where a resumable stream began; set with its first event. From then on
  /// it runs only there.
  std::optional<streams::stream_origin> origin;
  /// `stream_began` has been emitted.
  bool began = false;
  /// Set for a taken-up stream once its origin is known.
  std::optional<origin_source> taken_up_from;
  /// Until then the request is held, in no queue, to learn its origin.
  std::optional<time_point> origin_due;
  /// Targets of all attempts so far, in order.
  std::vector<target_id> tried_targets;
  /// Prompt cost that was charged for the current attempt.
  fairness::service_units charged_prompt_cost = 0;
  /// Cost counted against the customer's share; zero for service calls.
  double share_cost = 0;
  /// Whether the share is charged for this request at present.
  bool share_charged = false;
  std::uint32_t output_tokens = 0;
  std::optional<duration> first_output;
  /// When the current attempt began.
  time_point dispatched{};
  /// When the output of the current attempt began.
  std::optional<time_point> output_began;
  /// The current attempt's target has served the request.
  bool served = false;
  /// Targets that ended before they had served the request.
  std::uint32_t ended_targets = 0;
  /// How long its caller has waited before, as far as known.
  duration waited_before{};
  /// While it waits: the latest time to begin for it to end within its latency
  /// objective, if it should.
  std::optional<time_point> begin_by;
  /// That time has passed.
  bool is_late = false;
  /// Its current attempt counts as begun in its pool's estimate.
  bool counts_as_begun = false;
  time_point scheduled_deadline = kNever;
};

}  // namespace burdocklock::routing
