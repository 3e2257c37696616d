// Adapter that sends and receives control messages over WebSocket links.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "control/i_link_port.h"
#include "framework/logging/i_logger.h"
#include "framework/types/endpoint.h"
#include "framework/types/error.h"
#include "peer/peer_network.h"

namespace burdocklock::app {

struct control_link_handlers {
  std::function<void(control::link_id link)> on_up;
  std::function<void(control::link_id link)> on_down;
  std::function<void(control::link_id link, const control::message& message)>
      on_message;
};

/// All members and handlers run on the thread of the io_context.
class control_links : public control::i_link_port {
 public:
  /// Listens at `listen` unless its port is 0.
  control_links(boost::asio::io_context& io,
                const endpoint& listen,
                i_logger& logger);
  ~control_links() override;

  result<void> Start(control_link_handlers handlers);
  void Stop();

  control::link_id Open(const endpoint& peer) override;
  void Reopen(control::link_id link) override;
  void Close(control::link_id link) override;
  void Send(control::link_id link, const control::message& message) override;
  void SendToAll(const std::vector<control::link_id>& links,
                 const control::message& message) override;

  [[nodiscard]] bool HasRoom(control::link_id link) const override;

  [[nodiscard]] const peer::peer_traffic& traffic() const;
  /// Bytes that wait to be sent or are being written, on all links.
  [[nodiscard]] std::size_t UnsentBytes() const;
  /// Messages refused because of the sum of those bytes.
  [[nodiscard]] std::uint64_t RefusedForSum() const;

 private:
  void LogLimit(bool is_reached);
  bool Receive(std::uint64_t link, const std::string& bytes);

  boost::asio::io_context& io_;
  endpoint listen_;
  i_logger& logger_;
  control_link_handlers handlers_;
  std::unique_ptr<peer::peer_network> network_;
};

}  // namespace burdocklock::app
