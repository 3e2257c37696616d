// Bounds the search for targets in one pass over the waiting requests of a
// pool. Answers the load pattern of many customers with long queues at one
// router while targets have little room.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "framework/types/ids.h"
#include "routing/types/request.h"

namespace burdocklock::routing {

/// During a pass room at targets only shrinks, so what found none need not be
/// tried again: a prompt finds no room where a shorter one of its customer
/// found none, and each try halves the length. That one software version has no
/// room says nothing of the others, nor does it of requests that have no target
/// to avoid.
class dispatch_pass {
 public:
  using version = std::optional<software_version>;

  explicit dispatch_pass(int max_failures) : failures_left_(max_failures) {}

  /// Whether no more targets are to be sought in this pass.
  [[nodiscard]] bool IsOver() const { return failures_left_ <= 0; }
  /// Whether all requests of the customer that the pass looks at were tried.
  [[nodiscard]] bool IsDone(const customer_id& customer) const {
    const auto found = customers_.find(customer);
    return found != customers_.end() && found->second.looked_at >= kLookAhead;
  }
  /// Counts a request that is looked at. Returns whether to seek a target.
  bool IsWorthTrying(const request_spec& spec,
                     const version& required,
                     bool is_first_try) {
    customer_tries& tries = customers_[spec.customer];
    // Streams that wait for their version may be ahead in any number.
    tries.looked_at += required ? 0 : 1;
    const auto found = tries.failures.find({required, is_first_try});
    if (found == tries.failures.end()) {
      return true;
    }
    const bool may_differ = required && found->second.count < kStreamTries;
    return may_differ || spec.prompt_tokens < found->second.shortest / 2;
  }
  void AddFailure(const request_spec& spec,
                  const version& required,
                  bool is_first_try) {
    --failures_left_;
    failure& known =
        customers_[spec.customer].failures[{required, is_first_try}];
    ++known.count;
    known.shortest = std::min(known.shortest, spec.prompt_tokens);
  }

 private:
  // Streams avoid the targets that they were at, so that another one may find
  // room.
  static constexpr int kStreamTries = 4;
  // Requests of a customer that a pass looks at, beside streams.
  static constexpr int kLookAhead = 128;

  struct failure {
    int count = 0;
    std::uint32_t shortest = std::numeric_limits<std::uint32_t>::max();
  };
  struct customer_tries {
    int looked_at = 0;
    std::map<std::pair<version, bool>, failure> failures;
  };

  std::unordered_map<customer_id, customer_tries> customers_;
  int failures_left_;
};

}  // namespace burdocklock::routing
