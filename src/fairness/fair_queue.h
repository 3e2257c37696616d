// Weighted fair queue of the waiting requests of one pool.
#pragma once

#include <cstddef>
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

/// Snapshot of one customer's queue and service in a pool.
struct customer_service {
  customer_id customer;
  double share = 1.0;
  std::size_t waiting = 0;
  /// Service received, divided by the customer's share.
  double virtual_service = 0;
  /// Service received.
  service_units charged = 0;
};

/// Start-time fair queueing: the backlogged customer with the smallest virtual
/// service is served first. When a customer becomes backlogged, its virtual
/// service is raised to the minimum of the backlogged customers, so idle time
/// earns no credit. To prevent starvation, a customer that has not been served
/// for `age_limit` takes precedence for one request.
///
/// Invariants: a customer is in `backlogged_` and in `by_last_served_` if and
/// only if it has waiting requests; apart from the raise on becoming
/// backlogged, virtual service changes only by charges, refunds and
/// `SetVirtualService`.
class fair_queue {
 public:
  explicit fair_queue(duration age_limit) : age_limit_(age_limit) {}

  /// Sets the customer's weight, by which later charges are divided.
  void SetShare(const customer_id& customer, double share);

  void Push(const customer_id& customer, request_seq request, time_point now);
  /// Returns a dequeued request to the head of its customer's queue.
  void PushFront(const customer_id& customer,
                 request_seq request,
                 time_point now);
  /// Queues a request before all others of its customer, except those that were
  /// put ahead or returned earlier.
  void PushAhead(const customer_id& customer,
                 request_seq request,
                 time_point now);
  /// Removes a waiting request; false if it is not in the queue.
  bool Remove(const customer_id& customer, request_seq request);

  enum class offer_result {
    /// The request is removed from the queue, and no other is offered.
    kTaken,
    kNext,
    kNextCustomer,
    kStop,
  };
  using offer =
      std::function<offer_result(const customer_id&, request_seq request)>;

  /// Offers waiting requests until one is taken: customers in service order,
  /// the requests of each in its order. Returns true if one was
  /// taken. Until then `offer` must not change the queue.
  bool TakeNext(time_point now, const offer& offer);

  /// Whether each customer's newest request goes before its older ones, except
  /// those that were put ahead or returned.
  void SetNewestFirst(bool newest_first) { newest_first_ = newest_first; }

  /// Adds to the customer's received service.
  void Charge(const customer_id& customer, service_units units);
  /// Replaces the customer's virtual service by its fleet-wide value.
  void SetVirtualService(const customer_id& customer, double value);
  /// Reverses a charge for service that was not received.
  void Refund(const customer_id& customer, service_units units);

  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] std::size_t Waiting(const customer_id& customer) const;
  /// About how many requests are served before one that the customer queued
  /// now, if customers are served by their shares.
  [[nodiscard]] double WaitingBefore(const customer_id& customer) const;
  /// The customer's waiting requests that were put ahead or returned.
  [[nodiscard]] std::size_t WaitingAhead(const customer_id& customer) const;
  [[nodiscard]] std::vector<customer_service> Snapshot() const;

 private:
  struct customer_queue {
    double share = 1.0;
    double virtual_service = 0;
    service_units charged = 0;
    std::deque<request_seq> requests;
    /// How many of the first requests were put ahead or returned.
    std::size_t ahead = 0;
    /// When the queue was last served or became backlogged.
    time_point last_served{};
  };
  using order_key = std::pair<double, customer_id>;

  customer_queue& QueueOf(const customer_id& customer) {
    return queues_[customer];
  }
  void MarkBacklogged(const customer_id& customer,
                      customer_queue& queue,
                      time_point now);
  void AddService(const customer_id& customer, service_units units);
  static void Erase(customer_queue& queue,
                    const std::deque<request_seq>::iterator& position);
  /// Offers the requests of one customer; `customer` may refer into
  /// `backlogged_`.
  offer_result OfferOf(const customer_id& customer,
                       time_point now,
                       const offer& offer);
  /// Whether the customer has not been served for the age limit.
  [[nodiscard]] bool IsOverdue(const customer_queue& queue,
                               time_point now) const {
    return now - queue.last_served >= age_limit_;
  }
  void RemoveFromOrder(const customer_id& customer,
                       const customer_queue& queue);
  void OnServed(const customer_id& customer,
                customer_queue& queue,
                time_point now);

  /// Position of the request that is offered as the `nth`.
  [[nodiscard]] std::size_t PositionOf(const customer_queue& queue,
                                       std::size_t nth) const;

  duration age_limit_;
  std::unordered_map<customer_id, customer_queue> queues_;
  std::set<order_key> backlogged_;
  /// The backlogged customers by when they were last served.
  std::set<std::pair<time_point, customer_id>> by_last_served_;
  /// Highest virtual service of any queue at the time it was served; the
  /// starting value for a customer that becomes backlogged while no other is.
  double virtual_time_ = 0;
  std::size_t size_ = 0;
  bool newest_first_ = false;
};

}  // namespace burdocklock::fairness
