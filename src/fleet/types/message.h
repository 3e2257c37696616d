// Messages exchanged between daemons.
#pragma once

#include <variant>
#include <vector>

#include "allocation/types/grant.h"
#include "allocation/types/report.h"
#include "framework/types/strong_type.h"
#include "membership/data_centre_orders.h"
#include "membership/types/member.h"

namespace burdocklock::fleet {

/// Heartbeat: sent on every outbound link once a second; the receiver replies
/// with its own.
struct heartbeat {
  membership::member sender;
  std::vector<membership::data_centre_order> orders;
  /// The sender is shutting down.
  bool leaving = false;
};

using message =
    std::variant<heartbeat, allocation::router_report, allocation::grant_table>;

/// A connection to another daemon, numbered by this process.
using link_id = strong_type<struct link_id_tag, std::uint64_t>;

}  // namespace burdocklock::fleet
