#include "control/internal/load_codec.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "control/internal/message_age.h"
#include "framework/codec/cbor_types.h"
#include "framework/codec/whole_number.h"

namespace burdocklock::admission {

using nlohmann::json;

// Thousandths of a request per second; more are a fault of the sender.
constexpr std::uint64_t kMaxRate = 1'000'000'000'000;

void to_json(json& j, const target_load& l) {
  j = json::array({l.target, l.in_flight, l.unread_tokens});
  if (l.rate_limit) {
    j.push_back(l.rate_limit->age_ms);
    // Thousandths, as whole numbers are encoded shorter.
    j.push_back(l.rate_limit->per_second
                    ? json(std::llround(*l.rate_limit->per_second * 1000))
                    : json());
  }
}
void from_json(const json& j, target_load& l) {
  ReadElement(j, 0, l.target);
  ReadElement(j, 1, l.in_flight);
  ReadElement(j, 2, l.unread_tokens);
  constexpr std::size_t kSizeWithRate = 5;
  if (j.size() < kSizeWithRate) {
    return;
  }
  l.rate_limit.emplace();
  l.rate_limit->age_ms = control::ReadAge(j.at(3));
  if (!j.at(4).is_null()) {
    l.rate_limit->per_second =
        static_cast<double>(ReadWhole<std::uint64_t>(j.at(4), 0, kMaxRate)) /
        1000;
  }
}

// Tokens, and tokens per second; more are a fault of the sender.
constexpr double kMaxTokens = 1e12;

// Rounded to whole tokens, which is precise enough and encodes shorter.
void to_json(json& j, const customer_flow& f) {
  j = json::array(
      {f.pool, f.customer, std::llround(f.demand), std::llround(f.started)});
  if (f.waiting > 0) {
    j.push_back(std::llround(f.waiting));
  }
}
void from_json(const json& j, customer_flow& f) {
  ReadElement(j, 0, f.pool);
  ReadElement(j, 1, f.customer);
  // Differences of sums, so rounding may make them negative.
  f.demand = std::max(0.0, ReadNumber(j.at(2), -kMaxTokens, kMaxTokens));
  f.started = std::max(0.0, ReadNumber(j.at(3), -kMaxTokens, kMaxTokens));
  // Absent if nothing waits, and from routers that do not report it.
  constexpr std::size_t kSizeWithWaiting = 5;
  if (j.size() >= kSizeWithWaiting) {
    j.at(4).get_to(f.waiting);
    // Also false for what is not a number.
    if (!(f.waiting >= 0 && f.waiting <= kMaxTokens)) {
      f.waiting = 0;
    }
  }
}

// In microseconds, as whole numbers are encoded shorter.
constexpr std::uint64_t kMaxBaseUs = 3'600'000'000;
constexpr double kUsPerMs = 1000;

void to_json(json& j, const learned_speed& s) {
  const auto base_us = static_cast<std::uint64_t>(std::max(
      1LL, std::llround(std::min<double>(s.base_ms * kUsPerMs, kMaxBaseUs))));
  j = json::array({s.target, s.life, base_us, s.samples});
  if (s.limit > 0) {
    j.push_back(s.limit);
  }
}
void from_json(const json& j, learned_speed& s) {
  ReadElement(j, 0, s.target);
  ReadElement(j, 1, s.life);
  s.base_ms =
      static_cast<double>(ReadWhole<std::uint64_t>(j.at(2), 1, kMaxBaseUs)) /
      kUsPerMs;
  s.samples = ReadWhole<std::uint32_t>(j.at(3), 1);
  constexpr std::size_t kSizeWithLimit = 5;
  if (j.size() >= kSizeWithLimit) {
    ReadElement(j, 4, s.limit);
  }
}

// Requests a second; more are a fault of the sender.
constexpr double kMaxRequests = 1e9;

// Rounded to tenths, as whole numbers are encoded shorter.
constexpr double kDemandSteps = 10;

std::int64_t ToSteps(double per_second) {
  return std::llround(per_second * kDemandSteps);
}
double ReadDemand(const json& j) {
  return ReadNumber(j, 0, kMaxRequests * kDemandSteps) / kDemandSteps;
}

void to_json(json& j, const pool_demand& d) {
  j = json::array({d.pool, ToSteps(d.per_second), ToSteps(d.answered),
                   ToSteps(d.rejected)});
  if (d.before > 0) {
    j.push_back(ToSteps(d.before));
  }
}
void from_json(const json& j, pool_demand& d) {
  ReadElement(j, 0, d.pool);
  d.per_second = ReadDemand(j.at(1));
  d.answered = ReadDemand(j.at(2));
  d.rejected = ReadDemand(j.at(3));
  // Absent if nothing comes before, and in reports of one router.
  constexpr std::size_t kSizeWithBefore = 5;
  if (j.size() >= kSizeWithBefore) {
    d.before = ReadDemand(j.at(4));
  }
}

void to_json(json& j, const fleet_load& l) {
  j = json::array({l.targets, l.customers});
  if (!l.learned.empty() || l.pools) {
    j.push_back(l.learned);
  }
  if (l.pools) {
    j.push_back(*l.pools);
  }
}

fleet_load ReadLoad(const json& j, dropped_entries& dropped) {
  fleet_load load;
  ReadEntries(j.at(0), load.targets, dropped);
  ReadEntries(j.at(1), load.customers, dropped);
  // Absent from daemons that learn no speeds, and without news.
  constexpr std::size_t kSizeWithLearned = 3;
  if (j.size() >= kSizeWithLearned) {
    ReadEntries(j.at(2), load.learned, dropped);
  }
  // Absent if it is not known, and from daemons that do not report it.
  constexpr std::size_t kSizeWithPools = 4;
  if (j.size() >= kSizeWithPools) {
    ReadEntries(j.at(3), load.pools.emplace(), dropped);
  }
  return load;
}

}  // namespace burdocklock::admission
