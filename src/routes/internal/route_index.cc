#include "routes/route_index.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "routes/caller_access.h"

namespace burdocklock::routes {

namespace {

std::string_view WithoutPort(std::string_view host_name) {
  return host_name.substr(0, host_name.rfind(':'));
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

}  // namespace

route_index::route_index(configuration configuration)
    : contents_(std::move(configuration)),
      needs_keys_(NeedsKeys(contents_.access)) {
  for (const route& route : contents_.routes) {
    routes_by_host_name_[LowerCase(route.host_name)][route.path_prefix] =
        &route;
  }
  for (const route_customer& customer : CustomersOf(contents_.access)) {
    IndexKeys(customer);
  }
  for (const service_terms& terms : contents_.services) {
    services_[terms.service] = &terms;
  }
}

// A stored version may hold an empty key, which every call without a key has,
// or a customer without a name, whose calls would be nobody's.
void route_index::IndexKeys(const route_customer& customer) {
  if (customer.customer.value().empty()) {
    return;
  }
  for (const std::string& key : customer.api_keys) {
    if (!key.empty()) {
      customers_by_key_[key] = &customer;
    }
  }
}

const route* route_index::Match(std::string_view host_name,
                                std::string_view path) const {
  const auto host_routes =
      routes_by_host_name_.find(LowerCase(WithoutPort(host_name)));
  if (host_routes == routes_by_host_name_.end()) {
    return nullptr;
  }
  std::string_view prefix = path.substr(0, path.find('?'));
  // Prefixes end with a slash, so only substrings that end with one can match.
  while (true) {
    const std::size_t slash = prefix.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    prefix = prefix.substr(0, slash + 1);
    const auto found = host_routes->second.find(prefix);
    if (found != host_routes->second.end()) {
      return found->second;
    }
    prefix.remove_suffix(1);
  }
}

const route_customer* route_index::FindByKey(std::string_view api_key) const {
  const auto found = customers_by_key_.find(api_key);
  return found == customers_by_key_.end() ? nullptr : found->second;
}

bool route_index::NeedsKey(const route& route) const {
  return needs_keys_ && !route.anonymous;
}

const service_terms* route_index::FindService(const pool_id& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second;
}

const pool_id& PickService(const route& route, std::uint64_t hash) {
  std::uint64_t total_weight = 0;
  for (const weighted_service& entry : route.services) {
    total_weight += entry.weight;
  }
  std::uint64_t offset = total_weight == 0 ? 0 : hash % total_weight;
  for (const weighted_service& entry : route.services) {
    if (offset < entry.weight) {
      return entry.service;
    }
    offset -= entry.weight;
  }
  return route.services.back().service;
}

}  // namespace burdocklock::routes
