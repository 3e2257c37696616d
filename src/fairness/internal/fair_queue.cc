// Start-time fair queueing of waiting requests, with precedence for customers
// that have waited beyond the age limit.
#include "fairness/fair_queue.h"

#include <algorithm>
#include <cstddef>

namespace burdocklock::fairness {

void fair_queue::SetShare(const customer_id& customer, double share) {
  QueueOf(customer).share = share;
}

void fair_queue::Push(const customer_id& customer,
                      request_seq request,
                      time_point now) {
  customer_queue& queue = QueueOf(customer);
  MarkBacklogged(customer, queue, now);
  queue.requests.push_back(request);
  ++size_;
}

void fair_queue::PushFront(const customer_id& customer,
                           request_seq request,
                           time_point now) {
  customer_queue& queue = QueueOf(customer);
  MarkBacklogged(customer, queue, now);
  queue.requests.push_front(request);
  ++queue.ahead;
  ++size_;
}

void fair_queue::PushAhead(const customer_id& customer,
                           request_seq request,
                           time_point now) {
  customer_queue& queue = QueueOf(customer);
  MarkBacklogged(customer, queue, now);
  const auto behind = static_cast<std::ptrdiff_t>(queue.ahead);
  queue.requests.insert(queue.requests.begin() + behind, request);
  ++queue.ahead;
  ++size_;
}

void fair_queue::Erase(customer_queue& queue,
                       const std::deque<request_seq>::iterator& position) {
  const auto index =
      static_cast<std::size_t>(position - queue.requests.begin());
  queue.ahead -= index < queue.ahead ? 1 : 0;
  queue.requests.erase(position);
}

void fair_queue::MarkBacklogged(const customer_id& customer,
                                customer_queue& queue,
                                time_point now) {
  if (!queue.requests.empty()) {
    return;
  }
  const double min_virtual_service =
      backlogged_.empty() ? virtual_time_ : backlogged_.begin()->first;
  queue.virtual_service = std::max(queue.virtual_service, min_virtual_service);
  queue.last_served = now;
  backlogged_.emplace(queue.virtual_service, customer);
  by_last_served_.emplace(now, customer);
}

void fair_queue::RemoveFromOrder(const customer_id& customer,
                                 const customer_queue& queue) {
  backlogged_.erase({queue.virtual_service, customer});
  by_last_served_.erase({queue.last_served, customer});
}

bool fair_queue::Remove(const customer_id& customer, request_seq request) {
  customer_queue& queue = QueueOf(customer);
  const auto found =
      std::find(queue.requests.begin(), queue.requests.end(), request);
  if (found == queue.requests.end()) {
    return false;
  }
  Erase(queue, found);
  --size_;
  if (queue.requests.empty()) {
    RemoveFromOrder(customer, queue);
  }
  return true;
}

bool fair_queue::TakeNext(time_point now, const offer& offer) {
  for (const auto& [last_served, customer] : by_last_served_) {
    if (now - last_served < age_limit_) {
      break;
    }
    const offer_result result = OfferOf(customer, now, offer);
    if (result == offer_result::kTaken || result == offer_result::kStop) {
      return result == offer_result::kTaken;
    }
  }
  for (const auto& [virtual_service, customer] : backlogged_) {
    if (IsOverdue(QueueOf(customer), now)) {
      continue;
    }
    const offer_result result = OfferOf(customer, now, offer);
    if (result == offer_result::kTaken || result == offer_result::kStop) {
      return result == offer_result::kTaken;
    }
  }
  return false;
}

fair_queue::offer_result fair_queue::OfferOf(const customer_id& customer,
                                             time_point now,
                                             const offer& offer) {
  // Unlike `customer`, the key stays valid when a taken request's charge
  // changes the order.
  auto& [owner, queue] = *queues_.find(customer);
  for (std::size_t nth = 0; nth < queue.requests.size(); ++nth) {
    const auto it = queue.requests.begin() +
                    static_cast<std::ptrdiff_t>(PositionOf(queue, nth));
    const offer_result result = offer(owner, *it);
    if (result == offer_result::kTaken) {
      Erase(queue, it);
      OnServed(owner, queue, now);
      return result;
    }
    if (result != offer_result::kNext) {
      return result;
    }
  }
  return offer_result::kNextCustomer;
}

std::size_t fair_queue::PositionOf(const customer_queue& queue,
                                   std::size_t nth) const {
  return newest_first_ && nth >= queue.ahead
             ? queue.requests.size() - 1 - (nth - queue.ahead)
             : nth;
}

void fair_queue::OnServed(const customer_id& customer,
                          customer_queue& queue,
                          time_point now) {
  --size_;
  by_last_served_.erase({queue.last_served, customer});
  queue.last_served = now;
  virtual_time_ = std::max(virtual_time_, queue.virtual_service);
  if (queue.requests.empty()) {
    backlogged_.erase({queue.virtual_service, customer});
  } else {
    by_last_served_.emplace(now, customer);
  }
}

void fair_queue::Charge(const customer_id& customer, service_units units) {
  AddService(customer, units);
}

void fair_queue::Refund(const customer_id& customer, service_units units) {
  AddService(customer, -units);
}

void fair_queue::SetVirtualService(const customer_id& customer, double value) {
  customer_queue& queue = QueueOf(customer);
  const bool backlogged = !queue.requests.empty();
  if (backlogged) {
    backlogged_.erase({queue.virtual_service, customer});
  }
  queue.virtual_service = value;
  if (backlogged) {
    backlogged_.emplace(value, customer);
  }
}

void fair_queue::AddService(const customer_id& customer, service_units units) {
  customer_queue& queue = QueueOf(customer);
  const bool backlogged = !queue.requests.empty();
  if (backlogged) {
    backlogged_.erase({queue.virtual_service, customer});
  }
  queue.charged += units;
  queue.virtual_service += units / queue.share;
  if (backlogged) {
    backlogged_.emplace(queue.virtual_service, customer);
  }
}

std::size_t fair_queue::Waiting(const customer_id& customer) const {
  const auto found = queues_.find(customer);
  return found == queues_.end() ? 0 : found->second.requests.size();
}

double fair_queue::WaitingBefore(const customer_id& customer) const {
  const auto own = queues_.find(customer);
  const double own_share = own == queues_.end() ? 1 : own->second.share;
  const double own_waiting = static_cast<double>(Waiting(customer));
  double before = 0;
  for (const auto& [virtual_service, other] : backlogged_) {
    const customer_queue& queue = queues_.at(other);
    before += std::min(static_cast<double>(queue.requests.size()),
                       own_waiting * queue.share / own_share);
  }
  return before;
}

std::size_t fair_queue::WaitingAhead(const customer_id& customer) const {
  const auto found = queues_.find(customer);
  return found == queues_.end() ? 0 : found->second.ahead;
}

std::vector<customer_service> fair_queue::Snapshot() const {
  std::vector<customer_service> snapshot;
  snapshot.reserve(queues_.size());
  for (const auto& [customer, queue] : queues_) {
    snapshot.push_back({.customer = customer,
                        .share = queue.share,
                        .waiting = queue.requests.size(),
                        .virtual_service = queue.virtual_service,
                        .charged = queue.charged});
  }
  std::sort(snapshot.begin(), snapshot.end(),
            [](const customer_service& a, const customer_service& b) {
              return a.customer < b.customer;
            });
  return snapshot;
}

}  // namespace burdocklock::fairness
