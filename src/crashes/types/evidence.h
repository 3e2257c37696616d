// What routers know about targets that ended while they ran requests, as it is
// exchanged between routers and control hosts.
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

enum class suspect_kind : std::uint8_t {
  /// A part that several prompts share.
  kPart,
  /// A request that may be repeated whole; its id is the fingerprint.
  kRequest,
};

/// What may end the targets of a pool that process it. Each kind has a key
/// space of its own.
struct pool_suspect {
  pool_id pool;
  std::uint64_t id = 0;
  suspect_kind kind = suspect_kind::kPart;

  friend bool operator==(const pool_suspect&, const pool_suspect&) = default;
  friend auto operator<=>(const pool_suspect&, const pool_suspect&) = default;
};

/// A target that ended while it ran requests.
struct target_end {
  target_id target;
  incarnation life;
  pool_id pool;
  /// Milliseconds since the end was noticed.
  std::uint64_t age_ms = 0;
  /// Shared parts of the prompts that may have ended the target.
  std::vector<std::uint64_t> parts;
  /// Requests that may have ended the target.
  std::vector<request_fingerprint> requests;

  friend bool operator==(const target_end&, const target_end&) = default;
};

/// A target processed this and continued to run.
struct served_suspect {
  pool_suspect key;
  std::uint64_t age_ms = 0;

  friend bool operator==(const served_suspect&,
                         const served_suspect&) = default;
};

/// Requests with this are refused.
struct blocked_suspect {
  pool_suspect key;
  std::uint64_t age_ms = 0;
  /// How many times in a row it has been blocked; each time for longer.
  std::uint32_t times_blocked = 1;

  friend bool operator==(const blocked_suspect&,
                         const blocked_suspect&) = default;
};

struct evidence {
  std::vector<target_end> ends;
  std::vector<served_suspect> served;
  std::vector<blocked_suspect> blocked;

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
struct std::hash<burdocklock::crashes::pool_suspect> {
  std::size_t operator()(
      const burdocklock::crashes::pool_suspect& key) const noexcept {
    return std::hash<burdocklock::pool_id>{}(key.pool) ^ key.id;
  }
};
