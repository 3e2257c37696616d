// See the header.
#include "fairness/fair_queue.h"

#include <algorithm>

namespace burdocklock::fairness {

void fair_queue::SetShare(const customer_id& customer, double share) {
  LineOf(customer).share = share;
}

void fair_queue::Push(const customer_id& customer,
                      request_seq request,
                      time_point now) {
  line& line = LineOf(customer);
  MarkBacklogged(customer, line, now);
  line.requests.push_back(request);
  ++size_;
}

void fair_queue::PushFront(const customer_id& customer,
                           request_seq request,
                           time_point now) {
  line& line = LineOf(customer);
  MarkBacklogged(customer, line, now);
  line.requests.push_front(request);
  ++size_;
}

void fair_queue::MarkBacklogged(const customer_id& customer,
                                line& line,
                                time_point now) {
  if (!line.requests.empty()) {
    return;
  }
  const double least = order_.empty() ? floor_ : order_.begin()->first;
  line.virtual_service = std::max(line.virtual_service, least);
  line.last_served = now;
  order_.emplace(line.virtual_service, customer);
}

bool fair_queue::Remove(const customer_id& customer, request_seq request) {
  line& line = LineOf(customer);
  const auto found =
      std::find(line.requests.begin(), line.requests.end(), request);
  if (found == line.requests.end()) {
    return false;
  }
  line.requests.erase(found);
  --size_;
  if (line.requests.empty()) {
    order_.erase({line.virtual_service, customer});
  }
  return true;
}

bool fair_queue::TakeNext(
    time_point now,
    const std::function<bool(request_seq request)>& take) {
  for (const customer_id& customer : Precedence(now)) {
    line& line = LineOf(customer);
    if (take(line.requests.front())) {
      TakeHead(customer, line, now);
      return true;
    }
  }
  return false;
}

std::vector<customer_id> fair_queue::Precedence(time_point now) const {
  std::vector<customer_id> aged;
  std::vector<customer_id> rest;
  for (const auto& [virtual_service, customer] : order_) {
    const bool is_aged = now - lines_.at(customer).last_served >= age_limit_;
    (is_aged ? aged : rest).push_back(customer);
  }
  aged.insert(aged.end(), rest.begin(), rest.end());
  return aged;
}

void fair_queue::TakeHead(const customer_id& customer,
                          line& line,
                          time_point now) {
  line.requests.pop_front();
  --size_;
  line.last_served = now;
  floor_ = std::max(floor_, line.virtual_service);
  if (line.requests.empty()) {
    order_.erase({line.virtual_service, customer});
  }
}

void fair_queue::Charge(const customer_id& customer, service_units units) {
  AddService(customer, units);
}

void fair_queue::Refund(const customer_id& customer, service_units units) {
  AddService(customer, -units);
}

void fair_queue::SetVirtualService(const customer_id& customer, double value) {
  line& line = LineOf(customer);
  const bool backlogged = !line.requests.empty();
  if (backlogged) {
    order_.erase({line.virtual_service, customer});
  }
  line.virtual_service = value;
  if (backlogged) {
    order_.emplace(value, customer);
  }
}

void fair_queue::AddService(const customer_id& customer, service_units units) {
  line& line = LineOf(customer);
  const bool backlogged = !line.requests.empty();
  if (backlogged) {
    order_.erase({line.virtual_service, customer});
  }
  line.charged += units;
  line.virtual_service += units / line.share;
  if (backlogged) {
    order_.emplace(line.virtual_service, customer);
  }
}

std::size_t fair_queue::Waiting(const customer_id& customer) const {
  const auto found = lines_.find(customer);
  return found == lines_.end() ? 0 : found->second.requests.size();
}

std::vector<customer_service> fair_queue::View() const {
  std::vector<customer_service> views;
  views.reserve(lines_.size());
  for (const auto& [customer, line] : lines_) {
    views.push_back({.customer = customer,
                     .share = line.share,
                     .waiting = line.requests.size(),
                     .virtual_service = line.virtual_service,
                     .charged = line.charged});
  }
  std::sort(views.begin(), views.end(),
            [](const customer_service& a, const customer_service& b) {
              return a.customer < b.customer;
            });
  return views;
}

}  // namespace burdocklock::fairness
