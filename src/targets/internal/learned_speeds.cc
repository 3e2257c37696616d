// Part of target_directory: speeds of targets learned from plain calls, and the
// choice by them. Answers the load of servers of one service that differ in
// speed, or slow down before their slots are full. See target_directory.h.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

#include "targets/target_directory.h"

namespace burdocklock::targets {

namespace {

// Speeds differ if latencies do by this factor, beyond this many errors.
constexpr double kDifferentSpeed = 1.25;
constexpr double kSpeedErrors = 3;

// A target that has shown nothing for this time, as seen by one of as many
// routers, is sent a call.
constexpr std::chrono::milliseconds kProbeInterval{500};

// Part of what a target can take that is filled before slower ones are used,
// where a router can't know what others send there now.
constexpr double kFilledFirst = 0.7;

// Part of its slots by which a limit must change for operators to be told, and
// how often they are.
constexpr double kNotableChange = 0.25;
constexpr std::chrono::seconds kToldInterval{5};

// Memory of the other routers' mean load, a few of their summaries.
constexpr std::chrono::milliseconds kRemoteMemory{800};

concurrency_estimate& EstimateOf(known_target& target) {
  if (!target.learned) {
    target.learned =
        std::make_unique<concurrency_estimate>(target.announced.slots);
  }
  return *target.learned;
}

double BaseMs(const known_target& target, double unknown) {
  return target.learned && target.learned->is_known()
             ? std::exp(target.learned->log_base_ms())
             : unknown;
}

}  // namespace

bool target_directory::ReportServed(const slot_grant& grant,
                                    duration latency,
                                    time_point now) {
  entry* known = Find(grant);
  if (known == nullptr || options_.leased) {
    return false;
  }
  return EstimateOf(*known).OnSample(grant.in_flight, latency, now) &&
         HasNotableLimit(*known, now);
}

bool target_directory::HasNotableLimit(entry& known, time_point now) {
  const std::uint32_t limit = known.LearnedLimit();
  const std::uint32_t told =
      known.told_limit == 0 ? known.announced.slots : known.told_limit;
  const double change = std::abs(static_cast<double>(limit) - told);
  if (change < kNotableChange * known.announced.slots ||
      now - known.told < kToldInterval) {
    return false;
  }
  known.told_limit = limit;
  known.told = now;
  return true;
}

std::optional<std::uint32_t> target_directory::LearnedLimit(
    const target_id& target) const {
  const auto found = entries_.find(target);
  return found == entries_.end() ? std::nullopt
                                 : std::optional(found->second.LearnedLimit());
}

std::vector<admission::learned_speed> target_directory::TakeLearned(
    time_point now) {
  std::vector<admission::learned_speed> news;
  for (auto& [target, entry] : entries_) {
    if (!entry.learned) {
      continue;
    }
    if (const auto report = entry.learned->TakeReport(now)) {
      const std::uint32_t limit = entry.LearnedLimit();
      news.push_back({.target = target,
                      .life = entry.announced.life,
                      .base_ms = report->base_ms,
                      .samples = report->samples,
                      .limit = limit < entry.announced.slots ? limit : 0});
    }
  }
  return news;
}

void target_directory::SetLearned(
    const std::vector<admission::learned_speed>& learned,
    time_point now) {
  for (const admission::learned_speed& speed : learned) {
    entry* known = Find(speed.target, speed.life);
    if (known == nullptr || options_.leased) {
      continue;
    }
    EstimateOf(*known).OnShared(
        std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(speed.base_ms)),
        speed.samples, speed.limit, now);
  }
}

std::optional<double> target_directory::ExpectedMs(const entry& entry) {
  if (!entry.learned || !entry.learned->is_known()) {
    return std::nullopt;
  }
  return std::exp(entry.learned->log_base_ms()) *
         entry.learned->GrowthAt(entry.InFlightOfAll() + 1);
}

void target_directory::SmoothRemoteLoad(time_point now) {
  const double passed = ToSeconds(now - remote_load_at_);
  const double weight = 1 - std::exp(-passed / ToSeconds(kRemoteMemory));
  remote_load_at_ = now;
  for (auto& [target, entry] : entries_) {
    entry.remote_mean += weight * (entry.remote_in_flight - entry.remote_mean);
  }
}

target_directory::entry* target_directory::PickByLearnedTime(
    const std::vector<entry*>& candidates,
    time_point now) {
  // Time at these targets is divided among the routers already.
  if (candidates.front()->shares_slot_time) {
    return nullptr;
  }
  const concurrency_estimate* fastest = nullptr;
  const concurrency_estimate* slowest = nullptr;
  for (const entry* candidate : candidates) {
    const concurrency_estimate* learned = candidate->learned.get();
    if (learned == nullptr || !learned->is_known()) {
      continue;
    }
    if (fastest == nullptr || learned->log_base_ms() < fastest->log_base_ms()) {
      fastest = learned;
    }
    if (slowest == nullptr || learned->log_base_ms() > slowest->log_base_ms()) {
      slowest = learned;
    }
  }
  if (fastest == slowest ||
      slowest->log_base_ms() - fastest->log_base_ms() <
          std::log(kDifferentSpeed) +
              kSpeedErrors *
                  std::hypot(slowest->base_error(), fastest->base_error())) {
    return nullptr;
  }
  if (entry* unprobed = FindUnprobed(candidates, now)) {
    return unprobed;
  }
  const double least = std::exp(fastest->log_base_ms());
  return routers_.size() > candidates.front()->announced.slots
             ? DrawByRate(candidates, least)
             : FastestOf(candidates, least);
}

target_directory::entry* target_directory::FindUnprobed(
    const std::vector<entry*>& candidates,
    time_point now) {
  const duration interval =
      kProbeInterval * std::max<std::size_t>(routers_.size(), 1);
  for (entry* candidate : candidates) {
    const bool is_stale = !candidate->learned ||
                          now - candidate->learned->last_sample() >= interval;
    if (is_stale && candidate->in_flight == 0 &&
        now - candidate->probed >= interval) {
      candidate->probed = now;
      return candidate;
    }
  }
  return nullptr;
}

target_directory::entry* target_directory::FastestOf(
    const std::vector<entry*>& candidates,
    double least_base_ms) {
  entry* fastest = nullptr;
  double least = std::numeric_limits<double>::max();
  for (entry* candidate : candidates) {
    const double expected = ExpectedMs(*candidate).value_or(least_base_ms);
    if (expected < least) {
      least = expected;
      fastest = candidate;
    }
  }
  return fastest;
}

target_directory::entry* target_directory::DrawByRate(
    const std::vector<entry*>& candidates,
    double least_base_ms) {
  struct share {
    entry* target;
    double base_ms;
    /// Calls per millisecond that it takes.
    double rate;
  };
  std::vector<share> shares;
  shares.reserve(candidates.size());
  // By Little's law, the calls per millisecond of all routers.
  double calls = 0;
  for (entry* candidate : candidates) {
    const double base = BaseMs(*candidate, least_base_ms);
    const std::uint32_t limit = candidate->LearnedLimit();
    const auto growth_at = [&](std::uint32_t in_flight) {
      return candidate->learned ? candidate->learned->GrowthAt(in_flight) : 1;
    };
    const std::uint32_t in_flight = candidate->InFlightOfAll();
    calls += in_flight / (base * growth_at(in_flight));
    shares.push_back(
        {candidate, base, kFilledFirst * limit / (base * growth_at(limit))});
  }
  std::sort(shares.begin(), shares.end(), [](const share& a, const share& b) {
    return a.base_ms < b.base_ms;
  });
  double sum = 0;
  for (const share& share : shares) {
    sum += share.rate;
  }
  constexpr std::uint32_t kSteps = 1U << 16U;
  double drawn = std::min(calls, sum) * random_.Below(kSteps) / kSteps;
  for (const share& share : shares) {
    if (drawn < share.rate) {
      return share.target;
    }
    drawn -= share.rate;
  }
  return shares.back().target;
}

}  // namespace burdocklock::targets
