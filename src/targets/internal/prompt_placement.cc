// Selects the target with the shortest expected time to first output for a
// prompt. See target_directory.h.
#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

#include "targets/target_directory.h"

namespace burdocklock::targets {

namespace {

// Placement costs are expressed in prompt tokens to process.

// Cost of a running request to the other requests of its target: it lengthens
// the steps that it takes part in.
constexpr double kRunningRequestCost = 120;
// Cost of sending a request to another data centre.
constexpr double kRemoteDataCentreCost = 400;
// Number of targets that all routers prefer for prompts with the same shared
// prefix.
constexpr std::size_t kPreferredTargets = 2;
// Fraction of a shared prefix that each preferred target is expected to have
// cached, even if this router has not sent the prefix there.
constexpr std::array<double, kPreferredTargets> kPreferredCachedFraction = {
    0.95, 0.4};
// Cost of copying cached parts from another target: a fixed cost and a cost per
// token.
constexpr double kCopyBaseCost = 150;
constexpr double kCopyCostPerToken = 0.4;
// Fewer tokens than this are faster to process than to copy.
constexpr std::uint32_t kMinCopiedTokens = 256;
// Minimum size of shared parts for which it pays to wait for a target that has
// them cached.
constexpr std::uint32_t kMinTokensWorthWaiting = 1000;
// Maximum backlog of unread prompt tokens at a target, as processing time.
constexpr double kMaxBacklogMs = 250;
// Fraction of the maximum backlog below which a target has spare capacity.
constexpr double kSpareFraction = 0.3;

// Targets that are compared for each part of a prompt that they have cached.
constexpr std::size_t kMaxHolders = 16;

// Returns how many of the prompt's first parts other prompts are likely to
// share.
std::size_t IndexedParts(const prompt& prompt) {
  return prompt.parts.size() <= 1 ? prompt.parts.size()
                                  : prompt.parts.size() - 1;
}

// Returns the id of the last part shared with other prompts; the part after it
// belongs to the request itself.
std::uint64_t SharedKey(const prompt& prompt) {
  const std::size_t parts = prompt.parts.size();
  if (parts == 0) {
    return 0;
  }
  return parts == 1 ? prompt.parts[0].id : prompt.parts[parts - 2].id;
}

std::uint32_t SharedTokens(const prompt& prompt) {
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    tokens += prompt.parts[i].tokens;
  }
  return tokens;
}

}  // namespace

std::optional<choice> target_directory::ChooseForPrompt(
    const pool_id& pool,
    const std::vector<target_id>& excluded,
    const prompt& prompt,
    const placement_constraints& constraints,
    time_point now) {
  const pool_competition& competition = CompetitionFor(pool);
  const std::size_t compared = ComparedTargets(pool, competition);
  candidates found = Candidates(pool, excluded, constraints, compared, now);
  const bool some_left_out =
      compared < kMaxCompared ||
      found.local.size() + found.remote.size() >= kMaxCompared;
  std::vector<entry*>& all = found.local;
  all.insert(all.end(), found.remote.begin(), found.remote.end());
  const std::vector<entry*> preferred =
      PreferredTargets(pool, SharedKey(prompt), now);
  const pool_holders holders = BestHolders(pool, prompt, now);
  if (some_left_out && SharedTokens(prompt) > 0) {
    AddLikely(preferred, holders, excluded, constraints, competition, now, all);
  }
  if (all.empty()) {
    all = std::move(found.last_resort);
  }
  const bool only_preferred = constraints.preferred_only &&
                              !preferred.empty() && holders.empty() &&
                              SharedTokens(prompt) >= kMinTokensWorthWaiting;
  const double claimed = constraints.spare_capacity_only
                             ? ClaimedTokens(pool, competition, now)
                             : 0;
  placement best;
  placement second;
  for (entry* candidate : all) {
    const placement placed =
        EvaluatePlacement(*candidate, prompt, preferred, holders);
    const bool is_preferred = std::find(preferred.begin(), preferred.end(),
                                        candidate) != preferred.end();
    if ((only_preferred && !is_preferred) ||
        !HasProcessingRoom(*candidate, placed.unread, constraints, competition,
                           claimed)) {
      continue;
    }
    if (placed.cost < best.cost) {
      second = std::exchange(best, placed);
    } else if (placed.cost < second.cost) {
      second = placed;
    }
  }
  if (best.target == nullptr) {
    return std::nullopt;
  }
  std::vector<target_id> considered = {best.target->announced.target};
  if (second.target != nullptr) {
    considered.push_back(second.target->announced.target);
  }
  return GrantPlacement(best, pool, prompt, std::move(considered), now);
}

target_directory::placement target_directory::EvaluatePlacement(
    entry& candidate,
    const prompt& prompt,
    const std::vector<entry*>& preferred,
    const pool_holders& holders) const {
  const std::uint32_t held = EstimateCachedTokens(candidate, prompt, preferred);
  placement placed{.target = &candidate, .unread = prompt.input_tokens - held};
  double copy_cost = 0;
  const auto same_version = std::find_if(
      holders.begin(), holders.end(), [&](const version_holders& known) {
        return *known.version == candidate.announced.version;
      });
  if (same_version == holders.end()) {
    placed.cost = PlacementCost(candidate, placed.unread);
    return placed;
  }
  const best_holders& best = same_version->best;
  const prefix_holder& other = best[0].target != &candidate ? best[0] : best[1];
  // The source is set even if no copy should be needed, because the contents of
  // the target's cache are only estimated.
  placed.source = other.target;
  if (other.tokens >= held + kMinCopiedTokens) {
    placed.copied = other.tokens - held;
    placed.unread -= placed.copied;
    copy_cost = kCopyBaseCost + kCopyCostPerToken * placed.copied;
  }
  placed.cost = PlacementCost(candidate, placed.unread) + copy_cost;
  return placed;
}

void target_directory::AddLikely(const std::vector<entry*>& preferred,
                                 const pool_holders& holders,
                                 const std::vector<target_id>& excluded,
                                 const placement_constraints& constraints,
                                 const pool_competition& competition,
                                 time_point now,
                                 std::vector<entry*>& all) const {
  std::vector<entry*> likely = preferred;
  for (const version_holders& known : holders) {
    for (const prefix_holder& holder : known.best) {
      likely.push_back(holder.target);
    }
  }
  candidates added;
  for (entry* target : likely) {
    const bool is_new = target != nullptr &&
                        std::find(all.begin(), all.end(), target) == all.end();
    if (is_new && IsUsable(*target, now) &&
        Fits(*target, constraints.version, constraints.avoided) &&
        HasSlotPart(*target, competition) && HasRoom(*target, false, now)) {
      AddToGroup(*target, excluded, added);
    }
  }
  all.insert(all.end(), added.local.begin(), added.local.end());
  all.insert(all.end(), added.remote.begin(), added.remote.end());
}

target_directory::pool_holders target_directory::BestHolders(
    const pool_id& pool,
    const prompt& prompt,
    time_point now) {
  pool_holders found;
  const auto targets = by_pool_.find(pool);
  if (targets == by_pool_.end() || !copying_pools_.contains(pool)) {
    return found;
  }
  part_holders& index = targets->second.holders();
  // Those that have a later part cached have the most of the prompt.
  for (std::size_t i = IndexedParts(prompt); i-- > 0;) {
    index.Visit(prompt.parts[i].id, kMaxHolders, [&](entry& holder) {
      if (IsUsable(holder, now)) {
        AddHolder(holder, prompt, found);
      }
    });
  }
  return found;
}

void target_directory::AddHolder(entry& holder,
                                 const prompt& prompt,
                                 pool_holders& holders) {
  // Callers may declare parts that are longer than the prompt.
  const prefix_holder held{
      .target = &holder,
      .tokens = std::min(holder.prefixes.ProcessedTokens(prompt),
                         prompt.input_tokens)};
  if (held.tokens < kMinCopiedTokens) {
    return;
  }
  const software_version& version = holder.announced.version;
  auto same_version = std::find_if(
      holders.begin(), holders.end(),
      [&](const version_holders& known) { return *known.version == version; });
  if (same_version == holders.end()) {
    same_version = holders.insert(holders.end(), {.version = &version});
  }
  best_holders& best = same_version->best;
  if (best[0].target == &holder || best[1].target == &holder) {
    return;
  }
  if (held.tokens > best[0].tokens) {
    best[1] = std::exchange(best[0], held);
  } else if (held.tokens > best[1].tokens) {
    best[1] = held;
  }
}

choice target_directory::GrantPlacement(const placement& best,
                                        const pool_id& pool,
                                        const prompt& prompt,
                                        std::vector<target_id> considered,
                                        time_point now) {
  entry& target = *best.target;
  choice made = Grant(target, std::move(considered), now);
  made.unread_tokens = best.unread;
  made.tokens_before = target.unread_tokens + target.remote_unread_tokens;
  if (best.source != nullptr) {
    made.copy_from = best.source->announced.address;
    made.copied_tokens = best.copied;
  }
  target.unread[made.grant.number] = {.tokens = best.unread,
                                      .parts = prompt.parts};
  target.unread_tokens += best.unread;
  granted_tokens_ += best.unread;
  made.grant.tokens_ahead = target.unread_tokens + target.remote_unread_tokens;
  part_holders& index = by_pool_[pool].holders();
  for (std::size_t i = 0; i < IndexedParts(prompt); ++i) {
    if (!target.prefixes.Holds(prompt.parts[i].id)) {
      index.Add(prompt.parts[i].id, &target);
    }
  }
  target.prefixes.RecordSent(prompt);
  return made;
}

std::vector<target_directory::entry*> target_directory::PreferredTargets(
    const pool_id& pool,
    std::uint64_t key,
    time_point now) const {
  std::vector<entry*> preferred;
  const auto targets = by_pool_.find(pool);
  if (targets == by_pool_.end()) {
    return preferred;
  }
  const auto is_usable = [&](const entry& target) {
    return IsUsable(target, now);
  };
  for (entry* target : targets->second.Ranked(key)) {
    if (target != nullptr && preferred.size() < kPreferredTargets &&
        is_usable(*target)) {
      preferred.push_back(target);
    }
  }
  const bool has_more = targets->second.all().size() > pool_targets::kRanked;
  return preferred.size() == kPreferredTargets || !has_more
             ? preferred
             : targets->second.HighestOf(key, kPreferredTargets, is_usable);
}

std::uint32_t target_directory::EstimateCachedTokens(
    const entry& entry,
    const prompt& prompt,
    const std::vector<target_directory::entry*>& preferred) {
  std::uint32_t held = entry.prefixes.CachedTokens(prompt);
  const auto place = std::find(preferred.begin(), preferred.end(), &entry);
  if (place != preferred.end()) {
    const double probable = kPreferredCachedFraction[static_cast<std::size_t>(
                                place - preferred.begin())] *
                            SharedTokens(prompt);
    held = std::max(held, static_cast<std::uint32_t>(probable));
  }
  return std::min(held, prompt.input_tokens);
}

bool target_directory::HasProcessingRoom(
    const entry& entry,
    std::uint32_t unread,
    const placement_constraints& constraints,
    const pool_competition& competition,
    double claimed) const {
  const double limit = entry.tokens_per_ms * kMaxBacklogMs;
  const auto own = static_cast<double>(entry.unread_tokens);
  const auto others = static_cast<double>(entry.remote_unread_tokens);
  if (constraints.spare_capacity_only) {
    return own + others + claimed + unread <= limit * kSpareFraction ||
           own + others + claimed == 0;
  }
  if (own + others + unread <= limit * kSpareFraction || own + others == 0) {
    return true;
  }
  // Within its own fraction of the limit a router does not depend on up-to-date
  // load reports of the other routers.
  if (own + unread <= limit * competition.own_fraction) {
    return true;
  }
  if (own > 0) {
    return false;
  }
  return others + unread <= limit || others == 0;
}

double target_directory::PlacementCost(const entry& entry,
                                       std::uint32_t unread) const {
  const double distance =
      entry.announced.data_centre == options_.local_data_centre
          ? 0
          : kRemoteDataCentreCost;
  return static_cast<double>(entry.unread_tokens + entry.remote_unread_tokens) +
         kRunningRequestCost * (entry.in_flight + entry.remote_in_flight) +
         unread + distance;
}

}  // namespace burdocklock::targets
