// Limits retries to a share of the recent requests, so that a failing fleet is
// not loaded further by its own repeats.
#pragma once

#include "framework/types/time.h"

namespace burdocklock::routing {

struct retry_budget_options {
  /// Retries earned by each new request.
  double ratio = 0.1;
  /// Retries earned by each second.
  double per_second = 2.0;
  /// Most retries that can be saved up.
  double burst = 50.0;
};

/// Invariant: 0 <= tokens <= burst. Over any interval of t seconds with n new
/// requests at most burst + n * ratio + t * per_second retries are allowed.
class retry_budget {
 public:
  retry_budget(retry_budget_options options, time_point now);

  void OnRequest(time_point now);
  [[nodiscard]] bool TryTake(time_point now);
  void SetOptions(const retry_budget_options& options);

 private:
  void Refill(time_point now);
  void Add(double tokens);

  retry_budget_options options_;
  double tokens_;
  time_point refilled_at_;
};

}  // namespace burdocklock::routing
