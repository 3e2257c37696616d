// JSON status documents of the control loop for operators.
#include <chrono>

#include <nlohmann/json.hpp>

#include "app/control_loop.h"
#include "framework/codec/format_text.h"

namespace burdocklock::app {

namespace {

using nlohmann::ordered_json;

const char* StateName(const targets::target_view& view) {
  if (view.silent) {
    return "silent";
  }
  if (view.said_leaving) {
    return ToString(targets::target_state::kLeaving);
  }
  return view.asked_pause > duration::zero() ? "paused"
                                             : ToString(view.announced.state);
}

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
      {"state", StateName(view)},
      {"slots", announced.slots},
      {"leased", view.limit},
      {"ramp_limit", view.ramp_limit},
      {"in_flight", view.in_flight},
      {"heard_ms_ago",
       static_cast<std::int64_t>(ToMilliseconds(view.since_heard))}};
  if (view.expected_ms) {
    target["learned_limit"] = view.learned_limit;
    target["expected_ms"] = *view.expected_ms;
  }
  if (view.asked_pause > duration::zero()) {
    target["pause_ms"] =
        static_cast<std::int64_t>(ToMilliseconds(view.asked_pause));
  }
  if (view.slot_part) {
    target["slot_part"] = *view.slot_part;
  }
  if (announced.load) {
    target["load"] = {{"running", announced.load->running},
                      {"waiting", announced.load->waiting},
                      {"kv_used", announced.load->kv_used}};
  }
  return target;
}

}  // namespace

// A coordinator knows all targets of its data centre; other routers know only
// the targets on which they hold slots.
std::vector<targets::target_view> control_loop::TargetViews(
    time_point now) const {
  if (!node_) {
    return router_.directory().View(now);
  }
  std::vector<targets::target_view> views =
      node_->coordinator().directory().View(now);
  for (targets::target_view& view : views) {
    view.limit = 0;
    view.in_flight = 0;
    for (const auto& held :
         router_.directory().Leases(view.announced.data_centre)) {
      if (held.target == view.announced.target) {
        view.limit = held.limit;
        view.in_flight = held.in_use;
        view.ramp_limit = held.ramp_limit;
      }
    }
  }
  return views;
}

std::string control_loop::StatusJson() {
  const routing::router_totals& totals = router_.totals();
  const time_point now = std::chrono::steady_clock::now();
  std::size_t ready = 0;
  const std::vector<targets::target_view> targets = TargetViews(now);
  for (const targets::target_view& view : targets) {
    const bool is_ready = !view.silent && !view.said_leaving &&
                          view.announced.state == targets::target_state::kReady;
    ready += is_ready ? 1 : 0;
  }
  ordered_json out = ordered_json::array();
  for (const data_centre_id& data_centre : router_.directory().OutOfService()) {
    out.push_back(data_centre.value());
  }
  const ordered_json document = {
      {"daemon", settings_.daemon.value()},
      {"data_centre", settings_.data_centre.value()},
      {"region", settings_.region.value()},
      {"state", IsDraining()                          ? "draining"
                : IsReady()                           ? "ready"
                : takes_callers_ && !takes_callers_() ? "busy"
                                                      : "starting"},
      {"uptime_s", static_cast<std::int64_t>(ToSeconds(now - started_))},
      {"targets", targets.size()},
      {"targets_ready", ready},
      {"waiting", totals.waiting},
      {"in_flight", totals.in_flight},
      {"completed", totals.completed},
      {"refused", totals.refused},
      {"cut", totals.cut},
      {"caller_left", totals.caller_left},
      {"retries", totals.retries},
      {"coordinator", node_ && node_->IsCoordinator()},
      {"data_centres_out", out}};
  return FormatText(document);
}

std::string control_loop::TargetsJson() {
  ordered_json list = ordered_json::array();
  const time_point now = std::chrono::steady_clock::now();
  for (const targets::target_view& view : TargetViews(now)) {
    list.push_back(DescribeTarget(view));
  }
  return FormatText(ordered_json{{"targets", list}});
}

std::string control_loop::CustomersJson() {
  ordered_json list = ordered_json::array();
  if (!node_) {
    return FormatText(ordered_json{{"customers", list}});
  }
  for (const auto& entry : node_->coordinator().Customers()) {
    list.push_back({{"customer", entry.customer.value()},
                    {"pool", entry.pool.value()},
                    {"share", entry.share},
                    {"waiting", entry.waiting},
                    {"running", entry.running},
                    {"weighted_service", entry.virtual_service}});
  }
  return FormatText(ordered_json{{"coordinator", node_->IsCoordinator()},
                                 {"customers", list}});
}

std::string control_loop::MembersJson() {
  ordered_json list = ordered_json::array();
  const time_point now = std::chrono::steady_clock::now();
  if (!node_) {
    return FormatText(ordered_json{{"members", list}});
  }
  for (const membership::member& member : node_->members().Alive(now)) {
    const auto coordinator =
        node_->members().Coordinator(member.data_centre, now);
    list.push_back(
        {{"daemon", member.daemon.value()},
         {"incarnation", member.life.value()},
         {"data_centre", member.data_centre.value()},
         {"region", member.region.value()},
         {"role", member.has_control_role ? "control" : "router"},
         {"coordinates", coordinator && coordinator->daemon == member.daemon}});
  }
  return FormatText(ordered_json{{"members", list}});
}

}  // namespace burdocklock::app
