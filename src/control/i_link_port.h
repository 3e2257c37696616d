// Port: links to other daemons, opened on demand.
#pragma once

#include "control/types/message.h"
#include "framework/types/endpoint.h"
#include "framework/types/strong_type.h"

namespace burdocklock::control {

/// A link between two daemons, as this process numbers it.
using link_id = strong_type<struct control_link_id_tag, std::uint64_t>;

class i_link_port {
 public:
  virtual ~i_link_port() = default;

  /// Begins to connect; the link is kept, with new connections, until closed.
  virtual link_id Open(const endpoint& peer) = 0;
  /// Gives a silent connection up and connects anew.
  virtual void Reopen(link_id link) = 0;
  virtual void Close(link_id link) = 0;
  /// Sends, or drops the message if the link is down.
  virtual void Send(link_id link, const message& message) = 0;
};

}  // namespace burdocklock::control
