#include "routes/configuration_checks.h"

#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include <boost/outcome/success_failure.hpp>

#include "routes/caller_access.h"

namespace burdocklock::routes {

namespace {

// Targets are told the customer in a header field, which holds no more.
constexpr std::size_t kMaxCustomerNameBytes = 65'533;

result<void> Success() {
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

error InvalidConfiguration(std::string detail) {
  return {.code = error_code::kInvalidArgument,
          .step = "check configuration",
          .peer = {},
          .detail = std::move(detail)};
}

bool IsValidPrefix(const std::string& prefix) {
  return prefix.starts_with('/') && prefix.ends_with('/');
}

result<void> CheckRoute(const route& route,
                        const std::unordered_set<pool_id>& services) {
  if (!IsValidPrefix(route.path_prefix)) {
    return InvalidConfiguration("route " + route.name +
                                ": the prefix must begin and end with a slash");
  }
  if (route.timeout <= std::chrono::milliseconds::zero()) {
    return InvalidConfiguration("route " + route.name +
                                ": the timeout must be positive");
  }
  std::uint64_t total_weight = 0;
  for (const weighted_service& entry : route.services) {
    if (!services.contains(entry.service)) {
      return InvalidConfiguration("route " + route.name + ": unknown service " +
                                  entry.service.value());
    }
    total_weight += entry.weight;
  }
  if (total_weight == 0) {
    return InvalidConfiguration("route " + route.name +
                                ": the weights add up to zero");
  }
  return Success();
}

result<void> CheckRoutes(const configuration& configuration,
                         const std::unordered_set<pool_id>& services) {
  std::set<std::pair<std::string, std::string>> seen_prefixes;
  for (const route& route : configuration.routes) {
    if (auto checked = CheckRoute(route, services); !checked) {
      return checked;
    }
    if (!seen_prefixes.emplace(route.host_name, route.path_prefix).second) {
      return InvalidConfiguration(
          "route " + route.name +
          ": another route has this host name and prefix");
    }
  }
  return Success();
}

result<void> CheckCustomers(const configuration& configuration) {
  std::unordered_set<customer_id> seen_customers;
  std::unordered_map<std::string, customer_id> key_owners;
  for (const route_customer& customer : CustomersOf(configuration.access)) {
    if (customer.customer.value().size() > kMaxCustomerNameBytes) {
      return InvalidConfiguration("a customer's name is too long");
    }
    if (!seen_customers.insert(customer.customer).second) {
      return InvalidConfiguration("customer " + customer.customer.value() +
                                  " is named twice");
    }
    for (const std::string& key : customer.api_keys) {
      const auto [owner, added] = key_owners.emplace(key, customer.customer);
      if (!added && owner->second != customer.customer) {
        return InvalidConfiguration("customers " + owner->second.value() +
                                    " and " + customer.customer.value() +
                                    " share a key");
      }
    }
  }
  return Success();
}

}  // namespace

result<void> Check(const configuration& configuration) {
  std::unordered_set<pool_id> services;
  for (const service_terms& terms : configuration.services) {
    if (!services.insert(terms.service).second) {
      return InvalidConfiguration("service " + terms.service.value() +
                                  " is named twice");
    }
  }
  if (auto checked = CheckRoutes(configuration, services); !checked) {
    return checked;
  }
  return CheckCustomers(configuration);
}

result<void> CheckNew(const configuration& configuration) {
  if (auto checked = Check(configuration); !checked) {
    return checked;
  }
  for (const route_customer& customer : CustomersOf(configuration.access)) {
    if (customer.customer.value().empty()) {
      return InvalidConfiguration("a customer's name is empty");
    }
    for (const std::string& key : customer.api_keys) {
      if (key.empty()) {
        return InvalidConfiguration("customer " + customer.customer.value() +
                                    " has an empty key");
      }
    }
  }
  return Success();
}

}  // namespace burdocklock::routes
