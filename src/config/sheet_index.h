// Lookup index for one version of the sheet. Immutable, so that traffic threads
// can share it without locking.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config/types/sheet.h"
#include "framework/types/ids.h"

namespace burdocklock::config {

class sheet_index {
 public:
  explicit sheet_index(sheet sheet);

  /// Returns the customer that owns the API key, or nullptr.
  [[nodiscard]] const customer* FindByKey(std::string_view api_key) const;
  [[nodiscard]] const service* FindService(const pool_id& id) const;
  [[nodiscard]] bool HasModel(const pool_id& id) const;
  [[nodiscard]] static bool MayUseModel(const customer& customer,
                                        const pool_id& id);
  [[nodiscard]] static bool MayUseService(const customer& customer,
                                          const pool_id& id);
  [[nodiscard]] const sheet& contents() const { return sheet_; }

 private:
  struct key_entry {
    key_hash hash;
    const customer* owner;
  };

  sheet sheet_;
  // Keyed by the first 8 bytes of the hash; full hashes are then compared in
  // constant time.
  std::unordered_multimap<std::uint64_t, key_entry> customers_by_key_;
  std::unordered_map<pool_id, const service*> services_;
  std::unordered_set<pool_id> models_;
};

}  // namespace burdocklock::config
