// Port: links to other daemons, opened on demand.
#pragma once

#include <vector>

#include "control/types/message.h"
#include "framework/types/endpoint.h"
#include "framework/types/strong_type.h"

namespace burdocklock::control {

/// Link to another daemon; numbered per process.
using link_id = strong_type<struct control_link_id_tag, std::uint64_t>;

class i_link_port {
 public:
  virtual ~i_link_port() = default;

  /// Starts to connect. Lost connections are re-established until `Close`.
  virtual link_id Open(const endpoint& peer) = 0;
  /// Abandons an unresponsive connection and reconnects.
  virtual void Reopen(link_id link) = 0;
  virtual void Close(link_id link) = 0;
  /// Sends the message, or drops it if the link is down.
  virtual void Send(link_id link, const message& message) = 0;
  /// As above for several links; the message is encoded once.
  virtual void SendToAll(const std::vector<link_id>& links,
                         const message& message) = 0;
  /// False while whole lists, configurations and news of targets should wait,
  /// as the link has much to send yet.
  [[nodiscard]] virtual bool HasRoom(link_id link) const = 0;
};

}  // namespace burdocklock::control
