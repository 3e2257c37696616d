// Port: links to other daemons.
#pragma once

#include "fleet/types/message.h"

namespace burdocklock::fleet {

class i_fleet_port {
 public:
  virtual ~i_fleet_port() = default;

  /// Sends, or drops the message if the link is down.
  virtual void Send(link_id link, const message& message) = 0;
  /// Gives a silent outbound link up and opens a new connection for it.
  virtual void Reopen(link_id link) = 0;
};

}  // namespace burdocklock::fleet
