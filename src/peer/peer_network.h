// WebSocket links between daemons (websocketpp). Plain interface, so that the
// library, which does not compile as C++20, stays behind it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace burdocklock::peer {

struct peer_options {
  /// Address to listen on; port 0 takes a free one.
  std::string listen_address = "127.0.0.1";
  std::uint16_t listen_port = 0;
  /// URIs ("ws://ip:port") to keep links to; link i goes to entry i - 1.
  std::vector<std::string> peers;
  std::size_t max_message_bytes = 1024 * 1024;
  std::uint32_t reconnect_ms = 500;
  /// False for daemons that only open links.
  bool listen = true;
};

struct peer_handlers {
  /// An outbound link is open.
  std::function<void(std::uint64_t link)> on_up;
  /// A binary message arrived. False closes the link.
  std::function<bool(std::uint64_t link, const std::string& bytes)> on_message;
  /// A link failed or was closed; `detail` is for the log.
  std::function<void(std::uint64_t link, const std::string& detail)> on_down;
};

struct peer_traffic {
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

/// All members and handlers run on the thread of the io_context. Outbound
/// links are numbered from 1; inbound ones get larger numbers.
class peer_network {
 public:
  peer_network(boost::asio::io_context& io,
               peer_options options,
               peer_handlers handlers);
  ~peer_network();

  /// Listens and begins to connect. Returns the port, or 0 if it does not
  /// listen; `problem` is set on failure.
  std::uint16_t Start(std::string& error_message);
  /// Begins to keep one more link, to `uri`; returns its number.
  std::uint64_t Open(const std::string& uri);
  /// Closes an outbound link for good.
  void Drop(std::uint64_t link);
  void Send(std::uint64_t link, const std::string& bytes);
  /// Closes an outbound link and connects anew.
  void Reopen(std::uint64_t link);
  /// Closes everything; no handler is called afterwards.
  void Stop();
  [[nodiscard]] const peer_traffic& traffic() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace burdocklock::peer
