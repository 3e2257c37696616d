// WebSocket links between daemons. The interface hides websocketpp, which
// doesn't compile as C++20.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "peer/send_budget.h"

namespace boost::asio {
class io_context;
}

namespace burdocklock::peer {

struct peer_options {
  /// Address to listen on; port 0 selects a free port.
  std::string listen_address = "127.0.0.1";
  std::uint16_t listen_port = 0;
  /// URIs ("ws://ip:port") to connect to at startup; link i goes to
  /// `peers[i - 1]`.
  std::vector<std::string> peers;
  std::size_t max_message_bytes = 1024 * 1024;
  std::uint32_t reconnect_ms = 500;
  /// False for daemons that accept no inbound links.
  bool listen = true;
  send_limits limits;
};

struct peer_handlers {
  /// An outbound link has been opened.
  std::function<void(std::uint64_t link)> on_up;
  /// A message was received. Returning false closes the connection.
  std::function<bool(std::uint64_t link, const std::string& bytes)> on_message;
  /// An open link failed or was closed; `detail` is for logging.
  std::function<void(std::uint64_t link, const std::string& detail)> on_down;
  /// What all links keep has reached its limit, or is far below it again;
  /// optional.
  std::function<void(bool is_reached)> on_limit;
};

struct peer_traffic {
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  /// Messages that were dropped for want of memory.
  std::uint64_t messages_dropped = 0;
  /// Links closed because too many bytes waited to be sent.
  std::uint64_t links_overflowed = 0;
};

/// All members and handlers run on the thread of the io_context. Outbound
/// links are numbered from 1; inbound ones get larger numbers.
class peer_network {
 public:
  peer_network(boost::asio::io_context& io,
               peer_options options,
               peer_handlers handlers);
  ~peer_network();

  /// Starts to listen and connect. Returns the port, or 0 if it doesn't listen;
  /// `error_message` is set on failure.
  std::uint16_t Start(std::string& error_message);
  /// Adds an outbound link to `uri`, which is reconnected when lost; returns
  /// its number.
  std::uint64_t Open(const std::string& uri);
  /// Closes and removes an outbound link.
  void Close(std::uint64_t link);
  /// The message is dropped if the link is down, or as `send_budget` decides.
  void Send(std::uint64_t link,
            const std::string& bytes,
            delivery delivery = delivery::kRequired);
  /// As above; links from peers share the memory of the message.
  void SendToAll(const std::vector<std::uint64_t>& links,
                 const std::string& bytes,
                 delivery delivery = delivery::kRequired);
  /// False while whole lists should wait.
  [[nodiscard]] bool HasRoom(std::uint64_t link) const;
  /// Closes the connection of an outbound link and reconnects.
  void Reopen(std::uint64_t link);
  /// Closes all links and stops listening; no handler is called afterwards.
  void Stop();
  [[nodiscard]] const peer_traffic& traffic() const;
  /// Bytes that wait to be sent or are being written, on all links.
  [[nodiscard]] std::size_t UnsentBytes() const;
  /// Messages refused because of the sum of those bytes.
  [[nodiscard]] std::uint64_t RefusedForSum() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace burdocklock::peer
