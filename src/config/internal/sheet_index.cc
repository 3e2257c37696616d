#include "config/sheet_index.h"

#include <algorithm>
#include <cstring>

#include "config/key_hashing.h"

namespace burdocklock::config {

namespace {

std::uint64_t HashPrefix(const key_hash& hash) {
  std::uint64_t prefix = 0;
  std::memcpy(&prefix, hash.data(), sizeof(prefix));
  return prefix;
}

bool Contains(const std::vector<pool_id>& pools, const pool_id& id) {
  return std::find(pools.begin(), pools.end(), id) != pools.end();
}

}  // namespace

sheet_index::sheet_index(sheet sheet) : sheet_(std::move(sheet)) {
  for (const customer& customer : sheet_.customers) {
    for (const key_hash& hash : customer.api_keys) {
      customers_by_key_.emplace(HashPrefix(hash), key_entry{hash, &customer});
    }
  }
  for (const service& service : sheet_.services) {
    services_.emplace(service.id, &service);
  }
  for (const model& model : sheet_.models) {
    models_.insert(model.id);
  }
}

const customer* sheet_index::FindByKey(std::string_view api_key) const {
  if (api_key.empty()) {
    return nullptr;
  }
  const key_hash hash = HashKey(api_key);
  const auto [first, last] = customers_by_key_.equal_range(HashPrefix(hash));
  for (auto it = first; it != last; ++it) {
    if (KeysEqual(hash, it->second.hash)) {
      return it->second.owner;
    }
  }
  return nullptr;
}

const service* sheet_index::FindService(const pool_id& id) const {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr : found->second;
}

bool sheet_index::HasModel(const pool_id& id) const {
  return models_.contains(id);
}

bool sheet_index::MayUseModel(const customer& customer, const pool_id& id) {
  return Contains(customer.models, id);
}

bool sheet_index::MayUseService(const customer& customer, const pool_id& id) {
  return Contains(customer.services, id);
}

}  // namespace burdocklock::config
