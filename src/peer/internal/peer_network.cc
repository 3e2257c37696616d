// Compiled as C++17; see peer_network.h.
#include "peer/peer_network.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "peer/internal/peer_network_state.h"

namespace burdocklock::peer {

namespace {

// Bytes on the wire per message besides the payload: TCP/IP headers and the
// WebSocket frame header.
constexpr std::size_t kMessageOverheadBytes = 52 + 8;
// A connection's key is its link's number below that of its generation.
constexpr unsigned kLinkBits = 32;
constexpr std::uint64_t kLinkMask = (std::uint64_t{1} << kLinkBits) - 1;
constexpr char kOverflow[] = "too many bytes wait to be sent";

}  // namespace

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
    budget->OnClosed(KeyOf(link));
    inbound_links.erase(link);
    inbound_by_handle.erase(found);
    const std::string detail = DetailOf(link, "closed by peer");
    if (!stopped) {
      handlers.on_down(link, detail);
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
  budget->OnClosed(KeyOf(link));
  const std::string cause = DetailOf(link, detail);
  if (was_open) {
    handlers.on_down(link, cause);
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

client::connection_ptr peer_network::state::OutboundConnection(
    std::uint64_t link) {
  const auto found = outbound_links.find(link);
  websocketpp::lib::error_code ec;
  return found == outbound_links.end() || !found->second.open
             ? nullptr
             : connector.get_con_from_hdl(found->second.handle, ec);
}

server::connection_ptr peer_network::state::InboundConnection(
    std::uint64_t link) {
  const auto found = inbound_links.find(link);
  websocketpp::lib::error_code ec;
  return found == inbound_links.end()
             ? nullptr
             : acceptor.get_con_from_hdl(found->second, ec);
}

connection_key peer_network::state::KeyOf(std::uint64_t link) const {
  const auto found = outbound_links.find(link);
  const std::uint64_t generation =
      found == outbound_links.end() ? 0 : found->second.generation;
  return generation << kLinkBits | link;
}

void peer_network::state::SendToAll(const std::vector<std::uint64_t>& links,
                                    const std::string& bytes,
                                    delivery delivery) {
  using server_frame = counted_frame<server_config::message_type>;
  using client_frame = counted_frame<client_config::message_type>;
  // Frames of a server are not masked, so all connections share one.
  std::shared_ptr<server_frame> shared;
  for (const std::uint64_t link : links) {
    if (overflowed.count(link) > 0) {
      continue;
    }
    if (const auto connection = OutboundConnection(link)) {
      const auto masked = std::make_shared<client_frame>(
          client_frames.Make(bytes), budget, delivery);
      SendFrame(link, *connection, masked, delivery);
    } else if (const auto accepted = InboundConnection(link)) {
      if (!shared) {
        shared = std::make_shared<server_frame>(server_frames.Make(bytes),
                                                budget, delivery);
      }
      SendFrame(link, *accepted, shared, delivery);
    }
  }
  ReportLimit();
}

template <typename Connection, typename Frame>
void peer_network::state::SendFrame(
    std::uint64_t link,
    Connection& connection,
    const std::shared_ptr<counted_frame<Frame>>& frame,
    delivery delivery) {
  const connection_key key = KeyOf(link);
  const send_verdict verdict =
      budget->Admit(key, frame->bytes(), frame->uncounted_bytes(), delivery);
  for (const connection_key closed : verdict.to_close) {
    CloseAtOnce(closed);
  }
  if (!verdict.is_kept) {
    ++traffic.messages_dropped;
    return;
  }
  if (connection.send(counted_frame<Frame>::KeepFor(frame, key))) {
    return;
  }
  ++traffic.messages_sent;
  traffic.bytes_sent += frame->bytes() + kMessageOverheadBytes;
}

void peer_network::state::ReportLimit() {
  if (reported_short == budget->is_short() || stopped) {
    return;
  }
  reported_short = budget->is_short();
  if (handlers.on_limit) {
    handlers.on_limit(reported_short);
  }
}

void peer_network::state::CloseAtOnce(connection_key key) {
  const std::uint64_t link = key & kLinkMask;
  if (KeyOf(link) != key) {
    return;
  }
  overflowed.insert(link);
  ++traffic.links_overflowed;
  const auto terminate = [this](const auto& connection) {
    // The close handler must not run within the sender's loop over links.
    boost::asio::post(io, [connection] {
      connection->terminate(websocketpp::lib::error_code(
          websocketpp::error::value::send_queue_full,
          websocketpp::error::get_category()));
    });
  };
  if (const auto connection = OutboundConnection(link)) {
    terminate(connection);
  } else if (const auto accepted = InboundConnection(link)) {
    terminate(accepted);
  }
}

std::string peer_network::state::DetailOf(std::uint64_t link,
                                          const std::string& otherwise) {
  return overflowed.erase(link) > 0 ? kOverflow : otherwise;
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
  state_->overflowed.erase(link);
  state_->budget->OnClosed(state_->KeyOf(link));
  state_->outbound_links.erase(found);
}

void peer_network::Send(std::uint64_t link,
                        const std::string& bytes,
                        delivery delivery) {
  state_->SendToAll({link}, bytes, delivery);
}

void peer_network::SendToAll(const std::vector<std::uint64_t>& links,
                             const std::string& bytes,
                             delivery delivery) {
  state_->SendToAll(links, bytes, delivery);
}

bool peer_network::HasRoom(std::uint64_t link) const {
  return state_->budget->HasRoom(state_->KeyOf(link));
}

void peer_network::Reopen(std::uint64_t link) {
  const auto found = state_->outbound_links.find(link);
  if (found == state_->outbound_links.end() || state_->stopped) {
    return;
  }
  // The peer may never answer a close, and what waits to be sent would be kept
  // until then. Events of the old connection are ignored from here on.
  const connection_hdl old = found->second.handle;
  const bool was_open = found->second.open;
  state_->overflowed.erase(link);
  state_->budget->OnClosed(state_->KeyOf(link));
  state_->Connect(link);
  if (was_open) {
    websocketpp::lib::error_code ec;
    const auto connection = state_->connector.get_con_from_hdl(old, ec);
    if (!ec) {
      connection->terminate(websocketpp::lib::error_code());
    }
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

std::size_t peer_network::UnsentBytes() const {
  return state_->budget->kept_bytes();
}

std::uint64_t peer_network::RefusedForSum() const {
  return state_->budget->refused();
}

const peer_traffic& peer_network::traffic() const {
  return state_->traffic;
}

}  // namespace burdocklock::peer
