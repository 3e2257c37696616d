// See the header.
#include "rollouts/rollout_codec.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "framework/codec/cbor_types.h"
#include "framework/codec/whole_number.h"

namespace burdocklock::rollouts {

using nlohmann::json;

namespace {

// A year; longer ones are faults of the sender.
constexpr std::int64_t kMostMs = 366LL * 24 * 3600 * 1000;
// Thousandths are precise enough and encoded shorter.
constexpr double kThousand = 1000;
// Of the logarithm of milliseconds.
constexpr double kLongestLogTime = 100;
constexpr double kMostRouteWeight = 1000;

std::chrono::milliseconds ReadMs(const json& j) {
  return std::chrono::milliseconds(ReadWhole<std::int64_t>(j, 0, kMostMs));
}

json Thousandths(double value) {
  return std::llround(value * kThousand);
}

double ReadThousandths(const json& j, double least, double most) {
  return ReadNumber(j, least * kThousand, most * kThousand) / kThousand;
}

json EncodeCounts(const outcome_counts& c) {
  return json::array({c.answers, c.failures, c.timed, c.slow});
}

outcome_counts DecodeCounts(const json& j) {
  outcome_counts c;
  ReadElement(j, 0, c.answers);
  ReadElement(j, 1, c.failures);
  ReadElement(j, 2, c.timed);
  ReadElement(j, 3, c.slow);
  return c;
}

json EncodeUsual(const usual_times& times) {
  return json::array({Thousandths(times.first_output.mean),
                      times.first_output.samples, Thousandths(times.whole.mean),
                      times.whole.samples});
}

usual_times DecodeUsual(const json& j) {
  usual_times times;
  times.first_output.mean =
      ReadThousandths(j.at(0), -kLongestLogTime, kLongestLogTime);
  ReadElement(j, 1, times.first_output.samples);
  times.whole.mean =
      ReadThousandths(j.at(2), -kLongestLogTime, kLongestLogTime);
  ReadElement(j, 3, times.whole.samples);
  return times;
}

// The route is given by its place in the list before.
json EncodeTargets(const rollout_outcomes& o) {
  json list = json::array();
  for (const target_outcomes& target : o.targets) {
    const auto route = std::find_if(
        o.routes.begin(), o.routes.end(),
        [&](const route_outcomes& r) { return r.route == target.route; });
    if (route != o.routes.end()) {
      const outcome_counts& c = target.counts;
      list.push_back(json::array({route - o.routes.begin(), target.target,
                                  c.answers, c.failures, c.timed, c.slow}));
    }
  }
  return list;
}

void DecodeTargets(const json& list, rollout_outcomes& o) {
  for (const json& j : list) {
    target_outcomes target{
        .route = o.routes.at(ReadWhole<std::size_t>(j.at(0))).route,
        .target = j.at(1).get<target_key>(),
        .counts = {}};
    ReadElement(j, 2, target.counts.answers);
    ReadElement(j, 3, target.counts.failures);
    ReadElement(j, 4, target.counts.timed);
    ReadElement(j, 5, target.counts.slow);
    o.targets.push_back(target);
  }
}

}  // namespace

void to_json(json& j, const rollout_order& o) {
  j = json::array({o.pool, o.version, o.time.count()});
}
void from_json(const json& j, rollout_order& o) {
  ReadElement(j, 0, o.pool);
  ReadElement(j, 1, o.version);
  o.time = ReadMs(j.at(2));
}

void to_json(json& j, const rollout& r) {
  j = json::array(
      {r.order, static_cast<unsigned>(r.phase), r.elapsed.count(), r.retired});
}
void from_json(const json& j, rollout& r) {
  j.at(0).get_to(r.order);
  r.phase = ToEnum(j.at(1), rollout_phase::kReverted);
  r.elapsed = ReadMs(j.at(2));
  ReadElement(j, 3, r.retired);
}

void to_json(json& j, const rollout_outcomes& o) {
  json routes = json::array();
  for (const route_outcomes& route : o.routes) {
    routes.push_back(json::array({route.route, EncodeCounts(route.old_version),
                                  EncodeCounts(route.new_version),
                                  EncodeUsual(route.usual)}));
  }
  j = json::array(
      {o.pool, o.version, o.begun_old, o.begun_new, std::move(routes)});
  if (!o.targets.empty()) {
    j.push_back(EncodeTargets(o));
  }
}
void from_json(const json& j, rollout_outcomes& o) {
  ReadElement(j, 0, o.pool);
  ReadElement(j, 1, o.version);
  ReadElement(j, 2, o.begun_old);
  ReadElement(j, 3, o.begun_new);
  for (const json& route : j.at(4)) {
    o.routes.push_back({.route = route.at(0).get<route_key>(),
                        .old_version = DecodeCounts(route.at(1)),
                        .new_version = DecodeCounts(route.at(2)),
                        .usual = DecodeUsual(route.at(3))});
  }
  // Absent in reports of earlier software.
  constexpr std::size_t kTargetsAt = 5;
  if (j.size() > kTargetsAt) {
    DecodeTargets(j.at(kTargetsAt), o);
  }
}

void to_json(json& j, const rollout_part& p) {
  json routes = json::array();
  for (const route_terms& terms : p.routes) {
    routes.push_back(json::array(
        {terms.route, EncodeUsual(terms.usual), Thousandths(terms.weight)}));
  }
  j = json::array({p.pool, p.version, Thousandths(p.part), std::move(routes)});
}
void from_json(const json& j, rollout_part& p) {
  ReadElement(j, 0, p.pool);
  ReadElement(j, 1, p.version);
  p.part = ReadThousandths(j.at(2), 0, 1);
  for (const json& terms : j.at(3)) {
    p.routes.push_back(
        {.route = terms.at(0).get<route_key>(),
         .usual = DecodeUsual(terms.at(1)),
         .weight = ReadThousandths(terms.at(2), 0, kMostRouteWeight)});
  }
}

json EncodeRollouts(const rollout_map& rollouts) {
  json list = json::array();
  for (const auto& [pool, value] : rollouts) {
    list.push_back(value);
  }
  return list;
}

rollout_map DecodeRollouts(const json& j) {
  rollout_map rollouts;
  for (const json& element : j) {
    auto value = element.get<rollout>();
    pool_id pool = value.order.pool;
    rollouts.insert_or_assign(std::move(pool), std::move(value));
  }
  return rollouts;
}

}  // namespace burdocklock::rollouts
