// Lookup index for one version of the routing configuration. Immutable, so
// that traffic threads can share it without locking.
#pragma once

#include <cstddef>
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

  /// Returns the route of the host name with the longest prefix that matches
  /// the path, or nullptr. A port in the host name and a query string in the
  /// path are ignored.
  [[nodiscard]] const route* Match(std::string_view host_name,
                                   std::string_view path) const;
  /// Returns the customer that owns the API key, or nullptr; an empty key is
  /// nobody's.
  [[nodiscard]] const route_customer* FindByKey(std::string_view api_key) const;
  /// Returns whether calls to the route must carry an API key.
  [[nodiscard]] bool NeedsKey(const route& route) const;
  /// Whether calls to routes that are not anonymous must carry one.
  [[nodiscard]] bool needs_keys() const { return needs_keys_; }
  /// API keys that are accepted.
  [[nodiscard]] std::size_t key_count() const {
    return customers_by_key_.size();
  }
  [[nodiscard]] const service_terms* FindService(const pool_id& service) const;
  [[nodiscard]] const configuration& contents() const { return contents_; }

 private:
  struct string_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const noexcept {
      return std::hash<std::string_view>{}(text);
    }
  };
  template <typename T>
  using string_map =
      std::unordered_map<std::string, T, string_hash, std::equal_to<>>;

  void IndexKeys(const route_customer& customer);

  configuration contents_;
  bool needs_keys_;
  /// Lower-case host name to path prefix to route.
  string_map<string_map<const route*>> routes_by_host_name_;
  /// Invariant: neither a key nor its customer's name is empty.
  string_map<const route_customer*> customers_by_key_;
  std::unordered_map<pool_id, const service_terms*> services_;
};

/// Selects a service of the route by weight, deterministically from `hash`.
const pool_id& PickService(const route& route, std::uint64_t hash);

}  // namespace burdocklock::routes
