// Look-ups on one version of the routing configuration. Immutable, so that
// traffic threads share it without locks.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "routes/types/configuration.h"

namespace burdocklock::routes {

class route_index {
 public:
  /// The configuration must have passed `Check`.
  explicit route_index(configuration configuration);
  route_index(const route_index&) = delete;
  route_index& operator=(const route_index&) = delete;

  /// The route of that host name with the longest prefix that begins the path;
  /// nullptr if there is none. A port after the host name and a query after
  /// the path are ignored.
  [[nodiscard]] const route* Match(std::string_view host_name,
                                   std::string_view path) const;
  /// The customer that holds the key; nullptr if none does.
  [[nodiscard]] const route_customer* FindByKey(std::string_view api_key) const;
  /// True if calls of the route need a key.
  [[nodiscard]] bool NeedsKey(const route& route) const;
  [[nodiscard]] const service_terms* FindService(const pool_id& service) const;
  [[nodiscard]] const configuration& contents() const { return contents_; }

 private:
  struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const noexcept {
      return std::hash<std::string_view>{}(text);
    }
  };
  template <typename T>
  using by_text =
      std::unordered_map<std::string, T, text_hash, std::equal_to<>>;

  configuration contents_;
  /// Routes of each host name by prefix.
  by_text<by_text<const route*>> routes_;
  by_text<const route_customer*> keys_;
  std::unordered_map<pool_id, const service_terms*> services_;
};

/// Picks a service of the route by weight; equal `hash` picks the same one.
const pool_id& PickService(const route& route, std::uint64_t hash);

}  // namespace burdocklock::routes
