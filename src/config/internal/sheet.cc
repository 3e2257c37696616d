#include "config/types/sheet.h"

#include <algorithm>
#include <array>

namespace burdocklock::config {

namespace {

constexpr std::array<std::string_view, 6> kIdempotentMethods = {
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"};

// Matches whole path segments: "/orders" matches "/orders" and "/orders/7" but
// not "/orders-archive".
bool MatchesPath(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return path.size() == prefix.size() || prefix.ends_with('/') ||
         path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

bool AnyRuleMatches(const std::vector<call_rule>& rules,
                    std::string_view method,
                    std::string_view path) {
  return std::any_of(rules.begin(), rules.end(), [&](const call_rule& rule) {
    return MatchesPath(rule.path_prefix, path) &&
           std::find(rule.methods.begin(), rule.methods.end(), method) !=
               rule.methods.end();
  });
}

}  // namespace

bool IsNonRepeatable(const service& service,
                     std::string_view method,
                     std::string_view path) {
  if (AnyRuleMatches(service.non_repeatable, method, path)) {
    return true;
  }
  if (AnyRuleMatches(service.repeatable, method, path)) {
    return false;
  }
  return std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(),
                   method) == kIdempotentMethods.end();
}

}  // namespace burdocklock::config
