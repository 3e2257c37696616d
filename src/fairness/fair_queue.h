// The waiting requests of one pool, served in order of weighted service.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fairness/types/service_units.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

namespace burdocklock::fairness {

/// A customer's place in a pool, as operators see it.
struct customer_service {
  customer_id customer;
  double share = 1.0;
  std::size_t waiting = 0;
  /// Service received, divided by the customer's share.
  double virtual_service = 0;
  /// Service received.
  service_units charged = 0;
};

/// Start-time fair queueing with virtual counters: the backlogged customer
/// with the least weighted service goes first. A customer that becomes
/// backlogged is lifted to the least counter of the backlogged ones, so idle
/// time earns no credit. A customer that was passed over for the age limit
/// goes first once per age limit.
///
/// Invariants: a customer is in `order_` exactly while it has waiting
/// requests; counters change by charges, refunds and
/// `SetVirtualService` only.
class fair_queue {
 public:
  explicit fair_queue(duration age_limit) : age_limit_(age_limit) {}

  /// Sets the weight with which later charges are divided.
  void SetShare(const customer_id& customer, double share);

  void Push(const customer_id& customer, request_seq request, time_point now);
  /// Puts a request that was already taken back to the head of its line.
  void PushFront(const customer_id& customer,
                 request_seq request,
                 time_point now);
  /// Removes a waiting request; false if it does not wait.
  bool Remove(const customer_id& customer, request_seq request);

  /// Offers the heads of the customers' lines in order of precedence until
  /// `take` accepts one, which is then removed. Returns true if one was taken.
  bool TakeNext(time_point now,
                const std::function<bool(request_seq request)>& take);

  /// Adds service to a customer's counter.
  void Charge(const customer_id& customer, service_units units);
  /// Sets a customer's counter to its value over the whole fleet.
  void SetVirtualService(const customer_id& customer, double value);
  /// Takes back service that was charged but not received.
  void Refund(const customer_id& customer, service_units units);

  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] std::size_t Waiting(const customer_id& customer) const;
  [[nodiscard]] std::vector<customer_service> View() const;

 private:
  struct line {
    double share = 1.0;
    double virtual_service = 0;
    service_units charged = 0;
    std::deque<request_seq> requests;
    /// When the line was last served, or became backlogged.
    time_point last_served{};
  };
  using order_key = std::pair<double, customer_id>;

  line& LineOf(const customer_id& customer) { return lines_[customer]; }
  void MarkBacklogged(const customer_id& customer, line& line, time_point now);
  void AddService(const customer_id& customer, service_units units);
  std::vector<customer_id> Precedence(time_point now) const;
  void TakeHead(const customer_id& customer, line& line, time_point now);

  duration age_limit_;
  std::unordered_map<customer_id, line> lines_;
  std::set<order_key> order_;
  /// Counter of the line served last; lifts customers when nobody waits.
  double floor_ = 0;
  std::size_t size_ = 0;
};

}  // namespace burdocklock::fairness
