// See the header.
#include "admission/router_demand.h"

#include <chrono>
#include <cmath>

namespace burdocklock::admission {

namespace {

constexpr std::chrono::milliseconds kAveraging{500};

}  // namespace

router_demand DemandOf(const fleet_load& load) {
  router_demand demand{.calls = load.calls};
  for (const customer_flow& flow : load.customers) {
    demand.tokens += flow.demand;
  }
  return demand;
}

std::optional<double> DemandOverMean(const router_demand& own,
                                     const router_demand& others,
                                     std::size_t routers) {
  if (routers < 2) {
    return std::nullopt;
  }
  const bool by_calls = own.calls && others.calls;
  const double here = by_calls ? *own.calls : own.tokens;
  const double all = here + (by_calls ? *others.calls : others.tokens);
  if (all <= 0) {
    return std::nullopt;
  }
  return here * static_cast<double>(routers) / all;
}

double counter_rate::Update(std::uint64_t count, time_point now) {
  const double passed =
      updated_ == time_point{} ? 0 : ToSeconds(now - updated_);
  if (passed > 0) {
    const double rate = static_cast<double>(count - count_) / passed;
    per_second_ +=
        (1 - std::exp(-passed / ToSeconds(kAveraging))) * (rate - per_second_);
  }
  count_ = count;
  updated_ = now;
  return per_second_;
}

}  // namespace burdocklock::admission
