// Compiled as C++17; see peer_network.h.
#include "peer/peer_network.h"

#include <map>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace burdocklock::peer {

namespace {

using server = websocketpp::server<websocketpp::config::asio>;
using client = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;

constexpr std::uint64_t kFirstInboundLink = 1'000'000;
// Bytes on the wire per message besides the payload: TCP/IP headers and the
// WebSocket frame header.
constexpr std::size_t kMessageOverheadBytes = 52 + 8;

}  // namespace

struct peer_network::state : std::enable_shared_from_this<state> {
  state(boost::asio::io_context& io,
        peer_options init_options,
        peer_handlers init_handlers)
      : io(io),
        options(std::move(init_options)),
        handlers(std::move(init_handlers)) {}

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
  bool stopped = false;
};

std::uint16_t peer_network::state::Listen(std::string& error_message) {
  websocketpp::lib::error_code ec;
  acceptor.clear_access_channels(websocketpp::log::alevel::all);
  acceptor.clear_error_channels(websocketpp::log::elevel::all);
  acceptor.init_asio(&io, ec);
  acceptor.set_reuse_addr(true);
  acceptor.set_max_message_size(options.max_message_bytes);
  acceptor.set_tcp_post_init_handler([this](const connection_hdl& handle) {
    websocketpp::lib::error_code lookup_error;
    const auto connection = acceptor.get_con_from_hdl(handle, lookup_error);
    if (!lookup_error) {
      boost::system::error_code ignored;
      connection->get_raw_socket().set_option(
          boost::asio::ip::tcp::no_delay(true), ignored);
    }
  });
  acceptor.set_open_handler([this](const connection_hdl& handle) {
    const std::uint64_t link = next_inbound++;
    inbound_links[link] = handle;
    inbound_by_handle[handle] = link;
  });
  acceptor.set_message_handler(
      [this](const connection_hdl& handle, const server::message_ptr& message) {
        const auto found = inbound_by_handle.find(handle);
        if (!stopped && found != inbound_by_handle.end()) {
          Receive(found->second, message->get_payload());
        }
      });
  const auto on_closed = [this](const connection_hdl& handle) {
    const auto found = inbound_by_handle.find(handle);
    if (found == inbound_by_handle.end()) {
      return;
    }
    const std::uint64_t link = found->second;
    inbound_links.erase(link);
    inbound_by_handle.erase(found);
    if (!stopped) {
      handlers.on_down(link, "closed by peer");
    }
  };
  acceptor.set_close_handler(on_closed);
  acceptor.set_fail_handler(on_closed);
  const boost::asio::ip::tcp::endpoint address(
      boost::asio::ip::make_address(options.listen_address),
      options.listen_port);
  if (!ec) {
    acceptor.listen(address, ec);
  }
  if (!ec) {
    acceptor.start_accept(ec);
  }
  if (ec) {
    error_message = ec.message();
    return 0;
  }
  websocketpp::lib::asio::error_code local_ec;
  return acceptor.get_local_endpoint(local_ec).port();
}

void peer_network::state::Connect(std::uint64_t link) {
  websocketpp::lib::error_code ec;
  outbound& entry = outbound_links[link];
  const std::uint64_t generation = ++entry.generation;
  entry.open = false;
  const client::connection_ptr connection =
      connector.get_connection(entry.uri, ec);
  if (ec) {
    ScheduleReconnect(link);
    return;
  }
  entry.handle = connection->get_handle();
  connection->set_open_handler([this, link, generation](const connection_hdl&) {
    const auto found = outbound_links.find(link);
    if (stopped || found == outbound_links.end() ||
        found->second.generation != generation) {
      return;
    }
    found->second.open = true;
    handlers.on_up(link);
  });
  connection->set_message_handler(
      [this, link, generation](const connection_hdl&,
                               const client::message_ptr& message) {
        if (IsCurrent(link, generation)) {
          Receive(link, message->get_payload());
        }
      });
  connection->set_close_handler(
      [this, link, generation](const connection_hdl&) {
        OnOutboundClosed(link, generation, "closed by peer");
      });
  connection->set_fail_handler(
      [this, link, generation, raw = connection.get()](const connection_hdl&) {
        OnOutboundClosed(link, generation, raw->get_ec().message());
      });
  connector.connect(connection);
}

void peer_network::state::OnOutboundClosed(std::uint64_t link,
                                           std::uint64_t generation,
                                           const std::string& detail) {
  if (!IsCurrent(link, generation)) {
    return;
  }
  outbound& entry = outbound_links[link];
  const bool was_open = entry.open;
  entry.open = false;
  if (was_open) {
    handlers.on_down(link, detail);
  }
  ScheduleReconnect(link);
}

void peer_network::state::ScheduleReconnect(std::uint64_t link) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      io, std::chrono::milliseconds(options.reconnect_ms));
  const std::uint64_t generation = outbound_links[link].generation;
  timer->async_wait([self = shared_from_this(), timer, link,
                     generation](const boost::system::error_code& ec) {
    if (!ec && self->IsCurrent(link, generation)) {
      self->Connect(link);
    }
  });
}

void peer_network::state::Receive(std::uint64_t link,
                                  const std::string& payload) {
  ++traffic.messages_received;
  traffic.bytes_received += payload.size() + kMessageOverheadBytes;
  if (!handlers.on_message(link, payload)) {
    Close(link);
  }
}

void peer_network::state::Close(std::uint64_t link) {
  websocketpp::lib::error_code ignored;
  const auto outbound_link = outbound_links.find(link);
  if (outbound_link != outbound_links.end()) {
    connector.close(outbound_link->second.handle,
                    websocketpp::close::status::normal, "", ignored);
    return;
  }
  const auto inbound_link = inbound_links.find(link);
  if (inbound_link != inbound_links.end()) {
    acceptor.close(inbound_link->second, websocketpp::close::status::normal, "",
                   ignored);
  }
}

peer_network::peer_network(boost::asio::io_context& io,
                           peer_options options,
                           peer_handlers handlers)
    : state_(std::make_shared<state>(io,
                                     std::move(options),
                                     std::move(handlers))) {}

peer_network::~peer_network() {
  Stop();
}

std::uint16_t peer_network::Start(std::string& error_message) {
  std::uint16_t port = 0;
  if (state_->options.listen) {
    port = state_->Listen(error_message);
    if (port == 0) {
      return 0;
    }
  }
  websocketpp::lib::error_code ec;
  state_->connector.clear_access_channels(websocketpp::log::alevel::all);
  state_->connector.clear_error_channels(websocketpp::log::elevel::all);
  state_->connector.init_asio(&state_->io, ec);
  state_->connector.set_max_message_size(state_->options.max_message_bytes);
  state_->connector.set_tcp_post_init_handler(
      [state = state_.get()](const connection_hdl& handle) {
        websocketpp::lib::error_code lookup_error;
        const auto connection =
            state->connector.get_con_from_hdl(handle, lookup_error);
        if (!lookup_error) {
          boost::system::error_code ignored;
          connection->get_raw_socket().set_option(
              boost::asio::ip::tcp::no_delay(true), ignored);
        }
      });
  for (const std::string& uri : state_->options.peers) {
    Open(uri);
  }
  return port;
}

std::uint64_t peer_network::Open(const std::string& uri) {
  const std::uint64_t link = ++state_->last_outbound;
  state_->outbound_links[link].uri = uri;
  state_->Connect(link);
  return link;
}

void peer_network::Close(std::uint64_t link) {
  const auto found = state_->outbound_links.find(link);
  if (found == state_->outbound_links.end()) {
    return;
  }
  if (found->second.open) {
    websocketpp::lib::error_code ignored;
    state_->connector.close(found->second.handle,
                            websocketpp::close::status::going_away, "",
                            ignored);
  }
  state_->outbound_links.erase(found);
}

void peer_network::Send(std::uint64_t link, const std::string& bytes) {
  websocketpp::lib::error_code ec;
  const auto outbound_link = state_->outbound_links.find(link);
  if (outbound_link != state_->outbound_links.end()) {
    if (!outbound_link->second.open) {
      return;
    }
    state_->connector.send(outbound_link->second.handle, bytes,
                           websocketpp::frame::opcode::binary, ec);
  } else {
    const auto inbound_link = state_->inbound_links.find(link);
    if (inbound_link == state_->inbound_links.end()) {
      return;
    }
    state_->acceptor.send(inbound_link->second, bytes,
                          websocketpp::frame::opcode::binary, ec);
  }
  if (!ec) {
    ++state_->traffic.messages_sent;
    state_->traffic.bytes_sent += bytes.size() + kMessageOverheadBytes;
  }
}

void peer_network::Reopen(std::uint64_t link) {
  const auto found = state_->outbound_links.find(link);
  if (found == state_->outbound_links.end() || state_->stopped) {
    return;
  }
  // The peer may never answer the close: the old connection is left to its own
  // timeouts, and its events are ignored from here on.
  const connection_hdl old = found->second.handle;
  const bool was_open = found->second.open;
  state_->Connect(link);
  if (was_open) {
    websocketpp::lib::error_code ignored;
    state_->connector.close(old, websocketpp::close::status::going_away, "",
                            ignored);
    state_->handlers.on_down(link, "silent");
  }
}

void peer_network::Stop() {
  if (std::exchange(state_->stopped, true)) {
    return;
  }
  websocketpp::lib::error_code ignored;
  if (state_->options.listen) {
    state_->acceptor.stop_listening(ignored);
  }
  for (const auto& [link, entry] : state_->outbound_links) {
    if (entry.open) {
      state_->connector.close(
          entry.handle, websocketpp::close::status::going_away, "", ignored);
    }
  }
  for (const auto& [link, handle] : state_->inbound_links) {
    state_->acceptor.close(handle, websocketpp::close::status::going_away, "",
                           ignored);
  }
}

const peer_traffic& peer_network::traffic() const {
  return state_->traffic;
}

}  // namespace burdocklock::peer
