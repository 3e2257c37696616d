// The targets that a control host has heard of, by itself or from others.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "targets/types/announcement.h"

namespace burdocklock::control {

enum class registry_result {
  /// Late or repeated; nothing has changed.
  kStale,
  /// The target lives on as it was.
  kRenewed,
  /// Routers must hear of it at once.
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
/// Invariant: what a target said earlier never replaces what it said later,
/// and nothing follows after it has gone.
class target_registry {
 public:
  /// `heard` may lie in the past if another host heard it.
  registry_result Update(const targets::announcement& announcement,
                         time_point last_seen);
  /// The target has said that it goes; `life` if it has said which one. Returns
  /// what others are to be told, or nullopt if it is not known or gone already.
  std::optional<targets::announcement> Withdraw(const target_id& target,
                                                std::optional<incarnation> life,
                                                time_point now);
  /// Forgets targets not heard for the retention period.
  void Expire(time_point now);

  [[nodiscard]] std::vector<registry_entry> All() const;
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  std::unordered_map<target_id, registry_entry> entries_;
};

}  // namespace burdocklock::control
