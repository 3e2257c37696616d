// What routers know about targets that ended while they processed prompts, as
// it is exchanged between routers and control hosts.
#pragma once

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iterator>
#include <vector>

#include "framework/types/ids.h"

namespace burdocklock::crashes {

/// A prompt part, as seen by the targets of one pool.
struct pool_part {
  pool_id pool;
  std::uint64_t part = 0;

  friend bool operator==(const pool_part&, const pool_part&) = default;
  friend auto operator<=>(const pool_part&, const pool_part&) = default;
};

/// A target that ended while it ran requests.
struct target_end {
  target_id target;
  incarnation life;
  pool_id pool;
  /// Milliseconds since the end was noticed.
  std::uint64_t age_ms = 0;
  /// Shared parts of the prompts that may have ended the target.
  std::vector<std::uint64_t> suspects;

  friend bool operator==(const target_end&, const target_end&) = default;
};

/// A target processed a prompt with this part and continued to run.
struct served_part {
  pool_part key;
  std::uint64_t age_ms = 0;

  friend bool operator==(const served_part&, const served_part&) = default;
};

/// Prompts with this part are refused.
struct blocked_part {
  pool_part key;
  std::uint64_t age_ms = 0;
  /// How many times in a row the part has been blocked; each time for longer.
  std::uint32_t times_blocked = 1;

  friend bool operator==(const blocked_part&, const blocked_part&) = default;
};

struct evidence {
  std::vector<target_end> ends;
  std::vector<served_part> served;
  std::vector<blocked_part> blocked;

  [[nodiscard]] bool empty() const {
    return ends.empty() && served.empty() && blocked.empty();
  }
  void Append(evidence added) {
    std::move(added.ends.begin(), added.ends.end(), std::back_inserter(ends));
    std::move(added.served.begin(), added.served.end(),
              std::back_inserter(served));
    std::move(added.blocked.begin(), added.blocked.end(),
              std::back_inserter(blocked));
  }

  friend bool operator==(const evidence&, const evidence&) = default;
};

}  // namespace burdocklock::crashes

template <>
struct std::hash<burdocklock::crashes::pool_part> {
  std::size_t operator()(
      const burdocklock::crashes::pool_part& key) const noexcept {
    return std::hash<burdocklock::pool_id>{}(key.pool) ^ key.part;
  }
};
