// State of a peer_network. Included where C++17 is compiled only; see
// peer_network.h.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "peer/internal/frame_maker.h"
#include "peer/peer_network.h"
#include "peer/send_budget.h"

namespace burdocklock::peer {

using server_config = websocketpp::config::asio;
using client_config = websocketpp::config::asio_client;
using server = websocketpp::server<server_config>;
using client = websocketpp::client<client_config>;
using websocketpp::connection_hdl;

inline constexpr std::uint64_t kFirstInboundLink = 1'000'000;

struct peer_network::state : std::enable_shared_from_this<state> {
  state(boost::asio::io_context& io,
        peer_options init_options,
        peer_handlers init_handlers)
      : io(io),
        options(std::move(init_options)),
        handlers(std::move(init_handlers)),
        budget(std::make_shared<send_budget>(options.limits)) {}

  struct outbound {
    std::string uri;
    connection_hdl handle;
    bool open = false;
    // Incremented on each connection attempt; events of earlier ones are
    // ignored.
    std::uint64_t generation = 0;
  };

  std::uint16_t Listen(std::string& error_message);
  void Connect(std::uint64_t link);
  void ScheduleReconnect(std::uint64_t link);
  void OnOutboundClosed(std::uint64_t link,
                        std::uint64_t generation,
                        const std::string& detail);
  [[nodiscard]] bool IsCurrent(std::uint64_t link,
                               std::uint64_t generation) const {
    const auto found = outbound_links.find(link);
    return !stopped && found != outbound_links.end() &&
           found->second.generation == generation;
  }
  void Receive(std::uint64_t link, const std::string& payload);
  void Close(std::uint64_t link);
  /// The link's connection; nullptr if it has none.
  [[nodiscard]] client::connection_ptr OutboundConnection(std::uint64_t link);
  [[nodiscard]] server::connection_ptr InboundConnection(std::uint64_t link);
  [[nodiscard]] connection_key KeyOf(std::uint64_t link) const;
  void SendToAll(const std::vector<std::uint64_t>& links,
                 const std::string& bytes,
                 delivery delivery);
  /// Sends the frame if the budget admits it; closes what must give way.
  template <typename Connection, typename Frame>
  void SendFrame(std::uint64_t link,
                 Connection& connection,
                 const std::shared_ptr<counted_frame<Frame>>& frame,
                 delivery delivery);
  /// Reports that the limit is reached or over.
  void ReportLimit();
  /// Closes without a handshake, for which the peer would have to read first.
  void CloseAtOnce(connection_key connection);
  /// Why the link went down.
  std::string DetailOf(std::uint64_t link, const std::string& otherwise);

  boost::asio::io_context& io;
  peer_options options;
  peer_handlers handlers;
  server acceptor;
  client connector;
  std::map<std::uint64_t, outbound> outbound_links;
  std::map<std::uint64_t, connection_hdl> inbound_links;
  std::map<connection_hdl, std::uint64_t, std::owner_less<connection_hdl>>
      inbound_by_handle;
  std::uint64_t next_inbound = kFirstInboundLink;
  std::uint64_t last_outbound = 0;
  peer_traffic traffic;
  /// Shared with frames, which may outlive the network.
  std::shared_ptr<send_budget> budget;
  frame_maker<server_config> server_frames{true};
  frame_maker<client_config> client_frames{false};
  bool reported_short = false;
  /// Links that were closed here and not reported yet.
  std::set<std::uint64_t> overflowed;
  bool stopped = false;
};

}  // namespace burdocklock::peer
