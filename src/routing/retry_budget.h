// Token bucket that limits retries to a fraction of the recent requests, so
// that retries do not amplify the load on a failing fleet.
#pragma once

#include "framework/types/time.h"

namespace burdocklock::routing {

struct retry_budget_options {
  /// Tokens added per new request.
  double ratio = 0.1;
  /// Tokens added per second.
  double per_second = 2.0;
  /// Capacity of the bucket.
  double burst = 50.0;
};

/// Invariant: 0 <= tokens <= burst. Over any interval of t seconds with n new
/// requests at most burst + n * ratio + t * per_second retries are allowed.
class retry_budget {
 public:
  retry_budget(retry_budget_options options, time_point now);

  void OnRequest(time_point now);
  [[nodiscard]] bool TryConsume(time_point now);
  /// Whether a token can be taken and `reserve` tokens are left then.
  [[nodiscard]] bool Allows(double reserve, time_point now);
  /// Returns a token that was taken for a retry that is not made.
  void Return() { Add(1.0); }
  void SetOptions(const retry_budget_options& options);

 private:
  void Refill(time_point now);
  void Add(double tokens);

  retry_budget_options options_;
  double tokens_;
  time_point last_refill_;
};

}  // namespace burdocklock::routing
