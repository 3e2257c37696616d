// Targets known to a control host, from their own announcements or from other
// control hosts.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "targets/types/announcement.h"

namespace burdocklock::control {

enum class registry_result {
  /// Outdated or duplicate announcement; ignored.
  kStale,
  /// The target is still alive; nothing that routers depend on has changed.
  kRenewed,
  /// Routers must be notified at once.
  kChanged,
};

constexpr const char* ToString(registry_result result) {
  switch (result) {
    case registry_result::kStale:
      return "stale";
    case registry_result::kRenewed:
      return "renewed";
    case registry_result::kChanged:
      return "changed";
  }
  return "stale";
}

struct registry_entry {
  targets::announcement announced;
  time_point last_seen;
};

/// Soft state, ordered by (incarnation, sequence) of each target.
///
/// Invariant: an older announcement never replaces a newer one, and after a
/// withdrawal none of the same incarnation is accepted.
class target_registry {
 public:
  /// `last_seen` may lie in the past if the announcement was forwarded by
  /// another control host.
  registry_result Update(const targets::announcement& announcement,
                         time_point last_seen);
  /// Marks a target as withdrawn; `life` is its incarnation, if given. Returns
  /// the announcement to forward, or nullopt if the target is unknown,
  /// withdrawn already, or of another incarnation.
  std::optional<targets::announcement> Withdraw(const target_id& target,
                                                std::optional<incarnation> life,
                                                time_point now);
  /// Removes targets not seen for the retention period.
  void Expire(time_point now);

  /// Returns nullptr if the target is unknown.
  [[nodiscard]] const registry_entry* Find(const target_id& target) const {
    const auto found = entries_.find(target);
    return found == entries_.end() ? nullptr : &found->second;
  }
  [[nodiscard]] std::vector<registry_entry> All() const;
  template <typename Visitor>
  void Visit(Visitor visit) const {
    for (const auto& [target, entry] : entries_) {
      visit(entry);
    }
  }
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  std::unordered_map<target_id, registry_entry> entries_;
};

}  // namespace burdocklock::control
