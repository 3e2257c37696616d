// The JSON documents that operators read.
#include <chrono>

#include <nlohmann/json.hpp>

#include "app/control_loop.h"

namespace burdocklock::app {

namespace {

using nlohmann::ordered_json;

ordered_json DescribeTarget(const targets::target_view& view) {
  const targets::announcement& announced = view.announced;
  ordered_json pools = ordered_json::array();
  for (const pool_id& pool : announced.pools) {
    pools.push_back(pool.value());
  }
  ordered_json target = {
      {"target", announced.target.value()},
      {"incarnation", announced.life.value()},
      {"data_centre", announced.data_centre.value()},
      {"address", ToString(announced.address)},
      {"pools", pools},
      {"state", view.silent ? "silent" : ToString(announced.state)},
      {"slots", announced.slots},
      {"limit", view.limit},
      {"ramp", view.paused ? "paused" : ToString(view.phase)},
      {"in_flight", view.in_flight},
      {"heard_ms_ago",
       static_cast<std::int64_t>(ToMilliseconds(view.since_heard))}};
  if (announced.load) {
    target["load"] = {{"running", announced.load->running},
                      {"waiting", announced.load->waiting},
                      {"kv_used", announced.load->kv_used}};
  }
  return target;
}

}  // namespace

std::string control_loop::StatusJson() {
  const routing::router_totals& totals = router_.totals();
  const time_point now = std::chrono::steady_clock::now();
  std::size_t ready = 0;
  const std::vector<targets::target_view> targets =
      router_.directory().View(now);
  for (const targets::target_view& view : targets) {
    const bool is_ready =
        !view.silent && view.announced.state == targets::target_state::kReady;
    ready += is_ready ? 1 : 0;
  }
  const ordered_json document = {
      {"daemon", settings_.daemon.value()},
      {"data_centre", settings_.data_centre.value()},
      {"region", settings_.region.value()},
      {"state", IsDraining() ? "draining" : "ready"},
      {"uptime_s", static_cast<std::int64_t>(ToSeconds(now - started_))},
      {"targets", targets.size()},
      {"targets_ready", ready},
      {"waiting", totals.waiting},
      {"in_flight", totals.in_flight},
      {"completed", totals.completed},
      {"refused", totals.refused},
      {"cut", totals.cut},
      {"caller_left", totals.caller_left},
      {"retries", totals.retries}};
  return document.dump();
}

std::string control_loop::TargetsJson() {
  ordered_json list = ordered_json::array();
  const time_point now = std::chrono::steady_clock::now();
  for (const targets::target_view& view : router_.directory().View(now)) {
    list.push_back(DescribeTarget(view));
  }
  return ordered_json{{"targets", list}}.dump();
}

std::string control_loop::CustomersJson() {
  ordered_json list = ordered_json::array();
  for (const auto& [pool, customers] : router_.CustomerView()) {
    for (const fairness::customer_service& entry : customers) {
      list.push_back({{"customer", entry.customer.value()},
                      {"pool", pool.value()},
                      {"waiting", entry.waiting},
                      {"service", entry.charged},
                      {"weighted_service", entry.virtual_service}});
    }
  }
  return ordered_json{{"customers", list}}.dump();
}

}  // namespace burdocklock::app
