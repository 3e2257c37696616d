// See the header.
#include "rollouts/version_gate.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>

namespace burdocklock::rollouts {

namespace {

constexpr double kMostCredit = 2.0;
// Of routes that the leader has not heard of, when it has of others.
constexpr double kUnknownRouteWeight = 0.5;
// Routes beyond these take nothing from their credit, as most stay below 1.
constexpr std::size_t kMostRoutes = 256;
// Versions of a pool that are remembered; beyond them none is held back.
constexpr std::size_t kMostVersions = 64;

// FNV-1a, finished by a multiplication, as its last bits vary most.
double UnitHash(const std::string& text) {
  std::uint64_t hash = 14695981039346656037ULL;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  }
  hash ^= hash >> 32;
  hash *= 0x9E3779B97F4A7C15ULL;
  constexpr int kBits = 53;
  return std::ldexp(static_cast<double>(hash >> (64 - kBits)), -kBits);
}

}  // namespace

double version_gate::CreditOf(const rollout_order& order,
                              route_key route) const {
  const auto credits = credits_.find(order.pool);
  if (credits != credits_.end()) {
    const auto known = credits->second.find(route);
    if (known != credits->second.end()) {
      return known->second;
    }
  }
  return UnitHash(options_.self.value() + '\n' + order.pool.value() + '\n' +
                  order.version.value() + '\n' + std::to_string(route.value()));
}

void version_gate::SetRollouts(const rollout_map& rollouts) {
  if (!options_.enabled) {
    return;
  }
  for (const auto& [pool, next] : rollouts) {
    const auto known = rollouts_.find(pool);
    if (known == rollouts_.end() || known->second.order != next.order) {
      credits_.erase(pool);
      parts_.erase(pool);
    }
  }
  rollouts_ = rollouts;
}

void version_gate::SetParts(const std::vector<rollout_part>& parts,
                            time_point now) {
  for (const rollout_part& part : parts) {
    known_part& known = parts_[part.pool];
    known = {.version = part.version,
             .part = part.part,
             .weights = {},
             .until = now + kPartTime};
    for (const route_terms& terms : part.routes) {
      known.weights[terms.route] = terms.weight;
    }
  }
}

void version_gate::OnVersionHeard(const pool_id& pool,
                                  const software_version& version,
                                  time_point now) {
  if (!options_.enabled) {
    return;
  }
  pool_versions& known = heard_[pool];
  if (known.versions.size() >= kMostVersions &&
      !known.versions.contains(version)) {
    known.versions.clear();
  }
  const auto [found, added] =
      known.versions.try_emplace(version, heard{.first = now});
  found->second.latest = now;
  if (added && known.versions.size() > 1 && !version.value().empty()) {
    known.hold_until = now + options_.new_version_hold;
  }
}

bool version_gate::IsAlone(const pool_id& pool,
                           const software_version& version) const {
  const auto known = heard_.find(pool);
  if (known == heard_.end() || !known->second.versions.contains(version)) {
    return false;
  }
  const auto& versions = known->second.versions;
  const heard& own = versions.at(version);
  const time_point latest = own.latest;
  // A router that has just started may hear of this version first.
  if (versions.size() == 1 && latest - own.first < options_.reverted_alone) {
    return false;
  }
  return std::all_of(versions.begin(), versions.end(), [&](const auto& other) {
    return other.first == version ||
           latest - other.second.latest >= options_.reverted_alone;
  });
}

const rollout* version_gate::InProgress(const pool_id& pool) const {
  const auto found = rollouts_.find(pool);
  return found != rollouts_.end() &&
                 found->second.phase == rollout_phase::kInProgress
             ? &found->second
             : nullptr;
}

bool version_gate::IsOpen(const pool_id& pool, time_point now) const {
  if (!options_.enabled || rollouts_.contains(pool)) {
    return !options_.enabled;
  }
  const auto known = heard_.find(pool);
  return known == heard_.end() || now >= known->second.hold_until;
}

double version_gate::PartOf(const rollout& known, time_point now) const {
  const auto part = parts_.find(known.order.pool);
  const bool is_valid = part != parts_.end() && now < part->second.until &&
                        part->second.version == known.order.version;
  return is_valid ? part->second.part : 0;
}

double version_gate::PartOf(const rollout& known,
                            route_key route,
                            time_point now) const {
  const double part = PartOf(known, now);
  if (part <= 0 || part >= 1) {
    return part;
  }
  const auto& weights = parts_.at(known.order.pool).weights;
  const auto weight = weights.find(route);
  const double unknown = weights.empty() ? 1.0 : kUnknownRouteWeight;
  return std::min(1.0,
                  part * (weight == weights.end() ? unknown : weight->second));
}

version_use version_gate::UseOf(const pool_id& pool,
                                const software_version& version,
                                time_point now) const {
  const auto found = rollouts_.find(pool);
  if (found == rollouts_.end()) {
    return UseWithoutOrder(pool, version, now);
  }
  const rollout& known = found->second;
  const bool is_new = version == known.order.version;
  switch (known.phase) {
    case rollout_phase::kReverted:
      return is_new && !IsAlone(pool, version) ? version_use::kNever
                                               : version_use::kUsed;
    case rollout_phase::kComplete:
      return known.retired.contains(version) ? version_use::kLastResort
                                             : version_use::kUsed;
    case rollout_phase::kInProgress:
      break;
  }
  const double part = PartOf(known, now);
  if (part >= 1) {
    return is_new ? version_use::kUsed : version_use::kLastResort;
  }
  if (!is_new) {
    return version_use::kUsed;
  }
  return part > 0 ? version_use::kByCredit : version_use::kLastResort;
}

version_use version_gate::UseWithoutOrder(const pool_id& pool,
                                          const software_version& version,
                                          time_point now) const {
  const auto known = heard_.find(pool);
  if (known == heard_.end() || now >= known->second.hold_until) {
    return version_use::kUsed;
  }
  const auto& versions = known->second.versions;
  const auto found = versions.find(version);
  const duration hold = options_.new_version_hold;
  const bool is_held =
      found != versions.end() && !version.value().empty() &&
      now - found->second.first < hold &&
      std::any_of(versions.begin(), versions.end(), [&](const auto& other) {
        return other.second.first + hold <= found->second.first;
      });
  return is_held ? version_use::kLastResort : version_use::kUsed;
}

avoided_versions version_gate::Avoided(const pool_id& pool,
                                       time_point now) const {
  avoided_versions avoided;
  const auto add = [&](const software_version& version) {
    switch (UseOf(pool, version, now)) {
      case version_use::kUsed:
        break;
      case version_use::kNever:
        avoided.never.push_back(version);
        break;
      case version_use::kByCredit:
      case version_use::kLastResort:
        avoided.last_resort.push_back(version);
        break;
    }
  };
  const auto known = heard_.find(pool);
  if (known == heard_.end()) {
    return avoided;
  }
  for (const auto& [version, times] : known->second.versions) {
    add(version);
  }
  return avoided;
}

std::optional<software_version> version_gate::NextByCredit(
    const pool_id& pool,
    route_key route,
    time_point now) const {
  const rollout* known = InProgress(pool);
  if (known == nullptr) {
    return std::nullopt;
  }
  const double part = PartOf(*known, route, now);
  const bool has_credit = CreditOf(known->order, route) + part >= 1;
  return part > 0 && has_credit ? std::optional(known->order.version)
                                : std::nullopt;
}

void version_gate::OnFirstAttempt(const pool_id& pool,
                                  route_key route,
                                  const software_version& version,
                                  time_point now) {
  const rollout* known = InProgress(pool);
  if (known == nullptr) {
    return;
  }
  double credit = CreditOf(known->order, route) + PartOf(*known, route, now);
  if (version == known->order.version) {
    credit -= 1;
  }
  auto& credits = credits_[pool];
  if (credits.size() >= kMostRoutes && !credits.contains(route)) {
    return;
  }
  credits[route] = std::clamp(credit, 0.0, kMostCredit);
}

}  // namespace burdocklock::rollouts
