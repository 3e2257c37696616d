// Refills the retry token bucket, by request and by time, and takes a token for
// each retry.
#include "routing/retry_budget.h"

#include <algorithm>

namespace burdocklock::routing {

retry_budget::retry_budget(retry_budget_options options, time_point now)
    : options_(options), tokens_(options.burst), last_refill_(now) {}

void retry_budget::OnRequest(time_point now) {
  Refill(now);
  Add(options_.ratio);
}

bool retry_budget::Allows(double reserve, time_point now) {
  Refill(now);
  return tokens_ >= 1.0 + reserve;
}

bool retry_budget::TryConsume(time_point now) {
  if (!Allows(0, now)) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

void retry_budget::SetOptions(const retry_budget_options& options) {
  options_ = options;
  tokens_ = std::min(tokens_, options_.burst);
}

void retry_budget::Refill(time_point now) {
  Add(ToSeconds(now - last_refill_) * options_.per_second);
  last_refill_ = now;
}

void retry_budget::Add(double tokens) {
  tokens_ = std::min(options_.burst, tokens_ + tokens);
}

}  // namespace burdocklock::routing
