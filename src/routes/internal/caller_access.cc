// See the header.
#include "routes/caller_access.h"

namespace burdocklock::routes {

namespace {

struct needs_keys {
  bool operator()(const keyed_access&) const { return true; }
  bool operator()(const open_access&) const { return false; }
};

struct customers_of {
  std::span<const route_customer> operator()(const keyed_access& keyed) const {
    return keyed.customers;
  }
  std::span<const route_customer> operator()(const open_access&) const {
    return {};
  }
};

}  // namespace

bool NeedsKeys(const caller_access& access) {
  return std::visit(needs_keys{}, access);
}

std::span<const route_customer> CustomersOf(const caller_access& access) {
  return std::visit(customers_of{}, access);
}

}  // namespace burdocklock::routes
