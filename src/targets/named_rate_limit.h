// The limit on requests that one target names in its answers.
#pragma once

#include <optional>

#include "admission/types/fleet_load.h"
#include "framework/types/time.h"
#include "targets/shared_rate.h"

namespace burdocklock::targets {

/// The latest answer that any router had counts, also one that names none.
class named_rate_limit {
 public:
  /// An answer to this router that arrived at `received` names a limit, in
  /// requests per second from all routers together, or none. Returns whether
  /// that is new. An answer older than one known already changes nothing.
  bool OnAnswer(std::optional<double> per_second, time_point received);
  /// Another router's latest answer.
  void OnReport(const admission::named_rate& reported, time_point now);

  /// Absent if there is no limit.
  [[nodiscard]] std::optional<double> PerSecond(time_point now) const;
  /// What the other routers should know of this router's latest answer.
  [[nodiscard]] std::optional<admission::named_rate> ToReport(
      time_point now) const;

  /// Whether a request fits into this router's part of the limit, 0 to 1.
  [[nodiscard]] bool HasRoom(double part, time_point now) const;
  void OnSent(double part, time_point now);

 private:
  std::optional<double> per_second_;
  /// When the answer was received that says so; default if there was none.
  time_point heard_{};
  /// This router received it.
  bool is_own_ = false;
  /// The target has named a limit.
  bool was_named_ = false;
  rate_bucket bucket_;
};

}  // namespace burdocklock::targets
