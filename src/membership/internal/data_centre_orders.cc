// Stores the latest order for each data centre and resolves concurrent orders.
#include "membership/data_centre_orders.h"

#include <tuple>

namespace burdocklock::membership {

namespace {

auto Precedence(const data_centre_order& order) {
  return std::tie(order.version, order.out, order.accepted_by);
}

}  // namespace

data_centre_order data_centre_orders::Accept(const data_centre_id& data_centre,
                                             bool out,
                                             const daemon_id& self) {
  data_centre_order& current = orders_[data_centre];
  current = {.data_centre = data_centre,
             .out = out,
             .version = current.version + 1,
             .accepted_by = self};
  return current;
}

bool data_centre_orders::Merge(const data_centre_order& order) {
  const auto [current, inserted] = orders_.emplace(order.data_centre, order);
  if (inserted) {
    return true;
  }
  if (Precedence(order) <= Precedence(current->second)) {
    return false;
  }
  current->second = order;
  return true;
}

bool data_centre_orders::IsOut(const data_centre_id& data_centre) const {
  const auto found = orders_.find(data_centre);
  return found != orders_.end() && found->second.out;
}

std::vector<data_centre_order> data_centre_orders::All() const {
  std::vector<data_centre_order> all;
  all.reserve(orders_.size());
  for (const auto& [data_centre, order] : orders_) {
    all.push_back(order);
  }
  return all;
}

}  // namespace burdocklock::membership
