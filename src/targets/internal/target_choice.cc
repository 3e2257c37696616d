// The choice among targets. See target_directory.h.
#include <algorithm>
#include <limits>
#include <utility>

#include "targets/rendezvous.h"
#include "targets/target_directory.h"

namespace burdocklock::targets {

namespace {

// What a running request costs its neighbours, in prompt tokens to be read: its
// share of the steps that are lengthened by it.
constexpr double kTokensPerRunning = 120;
// What the way to another data centre costs, in prompt tokens to be read.
constexpr double kTokensPerDistance = 400;
// Part of a shared prefix's cost that is saved by sending it where everybody
// sends it, as far as this router does not know better.
constexpr double kAgreedShare = 0.8;

}  // namespace

target_directory::candidates target_directory::Candidates(
    const pool_id& pool,
    const std::vector<target_id>& excluded,
    time_point now) {
  candidates found;
  const auto pool_entries = by_pool_.find(pool);
  if (pool_entries == by_pool_.end()) {
    return found;
  }
  bool other_usable = false;
  for (entry* candidate : pool_entries->second) {
    if (!IsUsable(*candidate, now)) {
      continue;
    }
    const bool is_excluded =
        std::find(excluded.begin(), excluded.end(),
                  candidate->announced.target) != excluded.end();
    other_usable |= !is_excluded;
    if (!HasRoom(*candidate, now)) {
      continue;
    }
    if (is_excluded) {
      found.last_resort.push_back(candidate);
    } else if (candidate->announced.data_centre == options_.local_data_centre) {
      found.local.push_back(candidate);
    } else {
      found.remote.push_back(candidate);
    }
  }
  if (other_usable) {
    found.last_resort.clear();
  }
  return found;
}

std::optional<choice> target_directory::Choose(
    const pool_id& pool,
    const std::vector<target_id>& excluded,
    time_point now) {
  const candidates found = Candidates(pool, excluded, now);
  std::vector<target_id> considered;
  for (const auto* group : {&found.local, &found.remote, &found.last_resort}) {
    if (entry* picked = PickAmong(*group, considered)) {
      return Grant(*picked, std::move(considered), now);
    }
  }
  return std::nullopt;
}

std::optional<choice> target_directory::ChooseForPrompt(
    const pool_id& pool,
    const std::vector<target_id>& excluded,
    const prompt& prompt,
    time_point now) {
  candidates found = Candidates(pool, excluded, now);
  std::vector<entry*>& all = found.local;
  all.insert(all.end(), found.remote.begin(), found.remote.end());
  if (all.empty()) {
    all = std::move(found.last_resort);
  }
  entry* best = nullptr;
  entry* second = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  double second_cost = best_cost;
  for (entry* candidate : all) {
    const double cost = CostOf(*candidate, prompt);
    if (cost < best_cost) {
      second = std::exchange(best, candidate);
      second_cost = std::exchange(best_cost, cost);
    } else if (cost < second_cost) {
      second = candidate;
      second_cost = cost;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  std::vector<target_id> considered = {best->announced.target};
  if (second != nullptr) {
    considered.push_back(second->announced.target);
  }
  choice made = Grant(*best, std::move(considered), now);
  const std::uint32_t held =
      std::min(best->prefixes.Held(prompt), prompt.input_tokens);
  const std::uint32_t unread = prompt.input_tokens - held;
  best->unread[made.grant.number] = unread;
  best->unread_tokens += unread;
  best->prefixes.Note(prompt);
  return made;
}

double target_directory::CostOf(const entry& entry,
                                const prompt& prompt) const {
  double own = static_cast<double>(prompt.input_tokens) -
               std::min(entry.prefixes.Held(prompt), prompt.input_tokens);
  // The last part is the session's; the one before it is shared by many.
  if (!prompt.parts.empty()) {
    const prompt_part& shared = prompt.parts.back();
    const std::uint64_t weight =
        RendezvousWeight(shared.id, entry.announced.target.value());
    const double rank = static_cast<double>(weight) /
                        static_cast<double>(
                            std::numeric_limits<std::uint64_t>::max());
    own -= kAgreedShare * rank * shared.tokens;
  }
  const double distance =
      entry.announced.data_centre == options_.local_data_centre
          ? 0
          : kTokensPerDistance;
  return static_cast<double>(entry.unread_tokens) +
         kTokensPerRunning * entry.in_flight + own + distance;
}

choice target_directory::Grant(entry& picked,
                               std::vector<target_id> considered,
                               time_point now) {
  ++picked.in_flight;
  if (now < picked.cold_until) {
    picked.cold.Take(ColdRate(picked), now);
  }
  return {.grant = {.target = picked.announced.target,
                    .life = picked.announced.life,
                    .address = picked.announced.address,
                    .epoch = picked.ramp.epoch(),
                    .data_centre = picked.announced.data_centre,
                    .lease_epoch = picked.lease_epoch,
                    .number = ++last_grant_},
          .considered = std::move(considered)};
}

target_directory::entry* target_directory::PickAmong(
    const std::vector<entry*>& candidates,
    std::vector<target_id>& considered) {
  if (candidates.empty()) {
    return nullptr;
  }
  const auto count = static_cast<std::uint32_t>(candidates.size());
  const std::uint32_t first = random_.Below(count);
  entry* best = candidates[first];
  if (count == 1) {
    considered.push_back(best->announced.target);
    return best;
  }
  const std::uint32_t second = (first + 1 + random_.Below(count - 1)) % count;
  entry* other = candidates[second];
  if (IsBetter(*other, *best)) {
    std::swap(best, other);
  }
  considered.push_back(best->announced.target);
  considered.push_back(other->announced.target);
  return best;
}

bool target_directory::IsBetter(const entry& a, const entry& b) const {
  // Compares a.in_flight / a.limit with b.in_flight / b.limit.
  const auto load_a = static_cast<std::uint64_t>(a.in_flight) * LimitOf(b);
  const auto load_b = static_cast<std::uint64_t>(b.in_flight) * LimitOf(a);
  if (load_a != load_b) {
    return load_a < load_b;
  }
  const auto reported = [](const entry& entry) {
    return entry.announced.load
               ? entry.announced.load->running + entry.announced.load->waiting
               : 0U;
  };
  return reported(a) < reported(b);
}

void target_directory::SetColdTerms(const pool_id& pool,
                                    const cold_terms& terms) {
  cold_terms_[pool] = terms;
}

void target_directory::SetMemory(const pool_id& pool, std::uint64_t tokens) {
  if (memory_[pool] == tokens) {
    return;
  }
  memory_[pool] = tokens;
  const auto entries = by_pool_.find(pool);
  if (entries == by_pool_.end()) {
    return;
  }
  for (entry* entry : entries->second) {
    entry->prefixes = prefix_memory(tokens);
  }
}

void target_directory::SetRouters(std::vector<daemon_id> routers) {
  routers_ = std::move(routers);
}

double target_directory::ColdRate(const entry& entry) const {
  double rate = 0;
  for (const pool_id& pool : entry.announced.pools) {
    const auto terms = cold_terms_.find(pool);
    rate = std::max(rate, terms == cold_terms_.end() ? 0 : terms->second.rate);
  }
  return rate * ColdShare(entry.announced.target, options_.self, routers_);
}

void target_directory::NoteColdness(entry& entry, time_point now) {
  for (const pool_id& pool : entry.announced.pools) {
    const auto memory = memory_.find(pool);
    if (entry.prefixes.capacity() == 0 && memory != memory_.end()) {
      entry.prefixes = prefix_memory(memory->second);
    }
  }
  if (!entry.announced.cold_for) {
    return;
  }
  // A word about coldness takes the place of the ramp: what is not cold bears
  // all its slots, unless it has failed since.
  if (entry.ramp.epoch() == admission_ramp(1, 1).epoch()) {
    entry.ramp.RaiseTo(entry.announced.slots);
  }
  const time_point until = now + *entry.announced.cold_for;
  const bool is_cold = entry.announced.cold_for->count() > 0;
  entry.cold_until = is_cold ? std::max(entry.cold_until, until)
                             : entry.cold_until;
}

void target_directory::ForgetUnread(entry& entry, std::uint64_t grant) {
  const auto found = entry.unread.find(grant);
  if (found != entry.unread.end()) {
    entry.unread_tokens -= found->second;
    entry.unread.erase(found);
  }
}

void target_directory::NoteGone(const slot_grant& grant) {
  if (entry* known = Find(grant.target, grant.life)) {
    known->gone = true;
  }
}

void target_directory::ExcuseSilence(time_point now) {
  for (auto& [target, entry] : entries_) {
    entry.last_heard = std::max(entry.last_heard, now);
  }
}

}  // namespace burdocklock::targets
