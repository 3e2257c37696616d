// The requests that a connection to a target has carried lately.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace burdocklock::gateway {

/// Invariant: holds the hashes of the last names added, at most `kCapacity`.
/// Equal hashes of different names cost a new connection, nothing else.
class recent_names {
 public:
  /// Only an answer that is repeated after as many other answers can be taken
  /// for that to a request with a name used again.
  static constexpr std::size_t kCapacity = 64;

  void Add(std::string_view name) {
    hashes_[added_ % kCapacity] = Hash(name);
    ++added_;
  }
  [[nodiscard]] bool Contains(std::string_view name) const {
    const auto end = hashes_.begin() + std::min(added_, kCapacity);
    return std::find(hashes_.begin(), end, Hash(name)) != end;
  }

 private:
  static std::uint64_t Hash(std::string_view name) {
    return std::hash<std::string_view>{}(name);
  }

  std::array<std::uint64_t, kCapacity> hashes_{};
  std::size_t added_ = 0;
};

}  // namespace burdocklock::gateway
