// See the header.
#include "targets/announcement_checks.h"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace burdocklock::targets {

namespace {

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes;
}

void Require(bool holds, const char* field) {
  if (!holds) {
    throw std::out_of_range(field);
  }
}

}  // namespace

void Check(const announcement& announcement) {
  Require(IsName(announcement.target.value()), "target");
  Require(announcement.data_centre.value().size() <= kMaxNameBytes,
          "data centre");
  Require(!announcement.pools.empty(), "pools");
  Require(std::all_of(announcement.pools.begin(), announcement.pools.end(),
                      [](const pool_id& pool) { return IsName(pool.value()); }),
          "pools");
  Require(announcement.address.port != 0, "port");
  Require(announcement.slots > 0 && announcement.slots <= kMaxSlots, "slots");
  Require(announcement.cold_slots > 0 &&
              announcement.cold_slots <= announcement.slots,
          "cold slots");
  if (announcement.cold_for) {
    Require(announcement.cold_for->count() >= 0 &&
                *announcement.cold_for <= kMaxColdFor,
            "cold period");
  }
}

}  // namespace burdocklock::targets
