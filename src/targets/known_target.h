// What a router knows of one target.
#pragma once

#include <cmath>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "framework/types/time.h"
#include "targets/admission_ramp.h"
#include "targets/cold_admission.h"
#include "targets/concurrency_estimate.h"
#include "targets/named_rate_limit.h"
#include "targets/prefix_memory.h"
#include "targets/shared_rate.h"
#include "targets/slot_time_share.h"
#include "targets/types/announcement.h"
#include "targets/types/prompt.h"

namespace burdocklock::targets {

/// A prompt that a target has yet to process.
struct unread_prompt {
  std::uint32_t tokens = 0;
  std::vector<prompt_part> parts;
};

struct known_target {
  /// Initial value, typical of current engines; adjusted by measurements.
  static constexpr double kDefaultTokensPerMs = 55;

  announcement announced;
  admission_ramp ramp;
  std::uint32_t in_flight = 0;
  time_point last_heard;
  /// Start of the current series of announcements without long gaps.
  time_point heard_since;
  bool silence_reported = false;
  std::uint32_t lease_limit = 0;
  std::uint32_t lease_ramp_limit = 0;
  ramp_epoch lease_epoch;
  time_point lease_until{};
  /// The target is cold until this time.
  time_point cold_until{};
  rate_bucket cold;
  named_rate_limit rate_limit;
  /// This router's share of the target's rates.
  double rate_share = 0;
  prefix_memory prefixes{0};
  /// Prompts that the target has yet to process, by grant number. Removed on
  /// first output.
  std::unordered_map<std::uint64_t, unread_prompt> unread;
  std::uint64_t unread_tokens = 0;
  std::uint32_t remote_in_flight = 0;
  std::uint64_t remote_unread_tokens = 0;
  /// Smoothed: what others send at a time is known only after it has ended.
  double remote_mean = 0;
  /// Where this router stands at the target, 0 to 1: a part of its slots that
  /// is no whole number is rounded up at some targets and down at others, so
  /// that small parts of many routers add up to the whole.
  double place = 0;
  /// Requests in flight when the other routers' load was last received.
  std::uint32_t in_flight_then = 0;
  /// Measured processing rate of prompt tokens.
  double tokens_per_ms = kDefaultTokensPerMs;
  /// Learned from plain calls; null until one has ended. Of the announced
  /// incarnation, version and number of slots.
  std::unique_ptr<concurrency_estimate> learned;
  /// The learned limit that was last reported to operators, and when.
  std::uint32_t told_limit = 0;
  time_point told{};
  /// When it was last chosen only to learn its speed.
  time_point probed{};
  bool replaced = false;
  /// When its address last refused a connection, unless the target has been
  /// heard of since.
  std::optional<time_point> unreachable_at;
  /// When a stream last broke off there, likewise.
  std::optional<time_point> broken_at;
  /// Grants with lower numbers belong to an earlier incarnation or version.
  std::uint64_t first_grant = 0;
  /// An answer of this incarnation said that it leaves.
  bool said_leaving = false;
  /// It wants no requests from this router before this time.
  time_point asked_pause_until{};
  bool is_local = false;
  bool data_centre_out = false;
  /// Listed as open in its pools: not all of its slots are in use.
  bool is_open = false;
  /// This router's share of its slots, while routers share their time (design
  /// note 010). What others had in flight at the last summary has ended then.
  slot_time_share slot_time;
  /// This router's part of it, in requests there.
  double slot_part = 0;
  /// As above for requests that were at another target before.
  double retry_part = 0;
  /// The two parts above as they would be if each of its pools had the target
  /// alone. Kept only for a target in several pools.
  struct pool_part {
    double slot_part = 0;
    double retry_part = 0;
  };
  std::unordered_map<pool_id, pool_part> pool_parts;
  bool shares_slot_time = false;

  /// Requests at the target, of other routers about as many as on average.
  [[nodiscard]] std::uint32_t InFlightOfAll() const {
    return in_flight + static_cast<std::uint32_t>(std::lround(remote_mean));
  }
  /// The most requests that it takes well; its slots until that is learned, and
  /// while routers share their time: what they queue there then takes longer.
  [[nodiscard]] std::uint32_t LearnedLimit() const {
    return learned && !shares_slot_time ? learned->limit() : announced.slots;
  }
  /// Whether one more request is within a limit that was learned.
  [[nodiscard]] bool IsBelowLearnedLimit() const {
    return LearnedLimit() >= announced.slots ||
           InFlightOfAll() < LearnedLimit();
  }
  [[nodiscard]] bool HasFreeSlot() const {
    return in_flight + (shares_slot_time ? 0 : remote_in_flight) <
           announced.slots;
  }
};

}  // namespace burdocklock::targets
