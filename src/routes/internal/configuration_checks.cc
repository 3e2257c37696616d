// See the header.
#include "routes/configuration_checks.h"

#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include <boost/outcome/success_failure.hpp>

namespace burdocklock::routes {

namespace {

result<void> Ok() {
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

error Invalid(std::string detail) {
  return {.code = error_code::kInvalidArgument,
          .step = "check configuration",
          .peer = {},
          .detail = std::move(detail)};
}

bool IsPrefix(const std::string& prefix) {
  return prefix.starts_with('/') && prefix.ends_with('/');
}

result<void> CheckRoute(const route& route,
                        const std::unordered_set<pool_id>& services) {
  if (!IsPrefix(route.path_prefix)) {
    return Invalid("route " + route.name +
                   ": the prefix must begin and end with a slash");
  }
  if (route.timeout <= std::chrono::milliseconds::zero()) {
    return Invalid("route " + route.name + ": the timeout must be positive");
  }
  std::uint64_t weight = 0;
  for (const weighted_service& entry : route.services) {
    if (!services.contains(entry.service)) {
      return Invalid("route " + route.name + ": unknown service " +
                     entry.service.value());
    }
    weight += entry.weight;
  }
  if (weight == 0) {
    return Invalid("route " + route.name + ": the weights add up to zero");
  }
  return Ok();
}

result<void> CheckRoutes(const configuration& configuration,
                         const std::unordered_set<pool_id>& services) {
  std::set<std::pair<std::string, std::string>> places;
  for (const route& route : configuration.routes) {
    if (auto checked = CheckRoute(route, services); !checked) {
      return checked;
    }
    if (!places.emplace(route.host_name, route.path_prefix).second) {
      return Invalid("route " + route.name +
                     ": another route has this host name and prefix");
    }
  }
  return Ok();
}

result<void> CheckCustomers(const configuration& configuration) {
  std::unordered_set<customer_id> names;
  std::unordered_map<std::string, customer_id> owners;
  for (const route_customer& customer : configuration.customers) {
    if (!names.insert(customer.customer).second) {
      return Invalid("customer " + customer.customer.value() +
                     " is named twice");
    }
    for (const std::string& key : customer.api_keys) {
      const auto [owner, added] = owners.emplace(key, customer.customer);
      if (!added && owner->second != customer.customer) {
        return Invalid("customers " + owner->second.value() + " and " +
                       customer.customer.value() + " share a key");
      }
    }
  }
  return Ok();
}

}  // namespace

result<void> Check(const configuration& configuration) {
  std::unordered_set<pool_id> services;
  for (const service_terms& terms : configuration.services) {
    if (!services.insert(terms.service).second) {
      return Invalid("service " + terms.service.value() + " is named twice");
    }
  }
  if (auto checked = CheckRoutes(configuration, services); !checked) {
    return checked;
  }
  return CheckCustomers(configuration);
}

}  // namespace burdocklock::routes
