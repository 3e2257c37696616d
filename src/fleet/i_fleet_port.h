// Interface for sending messages over links to other daemons.
#pragma once

#include "fleet/types/message.h"

namespace burdocklock::fleet {

class i_fleet_port {
 public:
  virtual ~i_fleet_port() = default;

  /// Sends the message, or drops it if the link is down.
  virtual void Send(link_id link, const message& message) = 0;
  /// Closes an outbound link that has timed out and opens a new connection.
  virtual void Reopen(link_id link) = 0;
};

}  // namespace burdocklock::fleet
