// Reads requests within size and time limits; each connection is served by its
// own fiber. Accepting is in http_accept.cc.
#include "framework/net/http_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <exception>
#include <functional>
#include <optional>
#include <utility>

#include <boost/asio/socket_base.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "framework/fiber/fiber_thread.h"
#include "framework/fiber/use_fiber.h"
#include "framework/net/internal/http_server_state.h"
#include "framework/net/write_buffers.h"

namespace burdocklock::net {

namespace {

using reuse_port =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

using std::chrono::steady_clock;

// Read at a time beyond what is being parsed.
constexpr std::size_t kReadBytes = 16 * 1024;
// What callers still send is read for this long before a connection is closed:
// closing it earlier could reset it before the caller has read its answer.
constexpr std::chrono::seconds kLingerTime{1};
// A caller that sends more than this after its answer does not read it.
constexpr std::size_t kMaxLingerBytes = 8 * 1024 * 1024;
// Bounds the descriptors that connections hold after they were closed.
constexpr std::uint32_t kMaxWatched = 256;

bool IsTooLarge(const beast::error_code& ec) {
  return ec == http::error::header_limit || ec == http::error::body_limit ||
         ec == http::error::buffer_overflow;
}

bool IsMalformed(const beast::error_code& ec) {
  return ec.category() == make_error_code(http::error::bad_method).category() &&
         ec != http::error::end_of_stream && ec != http::error::partial_message;
}

}  // namespace

http_server::http_server(asio::io_context& context,
                         const http_server_options& options,
                         i_http_handler& handler)
    : state_(std::make_shared<state>(context, options, handler)) {}

http_server::~http_server() = default;

result<endpoint> http_server::Start() {
  result<endpoint> bound = state_->Listen();
  if (bound) {
    SpawnFiber([state = state_] { state->AcceptLoop(); });
  }
  return bound;
}

void http_server::CloseIdle() {
  for (http_connection* connection : state_->connections) {
    if (connection->used) {
      state_->idle.Close(*connection, close_cause::kDrained);
    }
  }
}

void http_server::Stop() {
  state_->stopping = true;
  beast::error_code ignored;
  state_->acceptor.close(ignored);
  state_->idle.Stop();
  for (http_connection* connection : state_->connections) {
    state_->idle.Close(*connection, close_cause::kStopped);
  }
  for (http_connection* connection : state_->watched) {
    connection->stream.socket().cancel(ignored);
  }
}

duration http_server::TakeLongestWait() {
  return std::exchange(state_->longest_wait, duration::zero());
}

result<endpoint> http_server::state::Listen() {
  const asio::ip::tcp::endpoint address = ToTcp(options.listen);
  beast::error_code ec;
  acceptor.open(address.protocol(), ec);
  if (!ec) {
    acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  }
  if (!ec && options.share_port) {
    acceptor.set_option(reuse_port(true), ec);
  }
  if (!ec) {
    acceptor.bind(address, ec);
  }
  if (!ec) {
    acceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return error{.code = error_code::kConnectionFailed,
                 .step = "listen",
                 .peer = ToString(options.listen),
                 .detail = ec.message()};
  }
  return endpoint{.address = options.listen.address,
                  .port = acceptor.local_endpoint().port()};
}

void http_server::state::Serve(tcp_stream stream) {
  ++counters().accepted;
  auto connection = std::make_shared<http_connection>(
      http_connection{.stream = std::move(stream),
                      .buffer = {},
                      .write_timeout = options.write_timeout,
                      .accepted_at = steady_clock::now()});
  SetNonBlocking(connection->stream);
  bool refused = false;
  const bool is_sound =
      Contain([&] { refused = TurnsAway() && RefuseAtOnce(*connection); });
  if (refused || !is_sound) {
    return;
  }
  if (!HasRoom()) {
    EvictIdle();
  }
  ++counters().open;
  connection->unread = options.turns_away && HasArrived(*connection);
  counters().unread += connection->unread ? 1 : 0;
  SpawnFiber([self = shared_from_this(), connection = std::move(connection)] {
    self->ServeConnection(*connection);
  });
}

bool http_server::state::RefuseAtOnce(http_connection& connection) {
  beast::error_code ec;
  connection.buffer.commit(connection.stream.socket().read_some(
      connection.buffer.prepare(kReadBytes), ec));
  if (ec) {
    connection.buffer = beast::flat_buffer();
    return false;
  }
  const http_limits limits = CurrentLimits();
  request_parser parser;
  parser.eager(true);
  parser.header_limit(limits.max_header_bytes);
  parser.body_limit(limits.max_body_bytes);
  const std::size_t parsed = parser.put(connection.buffer.cdata(), ec);
  if (ec || !parser.is_done() || parsed != connection.buffer.size() ||
      !MayHaveBody(parser.get())) {
    return false;
  }
  http_request request = parser.release();
  if (!handler.RefuseAtOnce(connection, request)) {
    return false;
  }
  ++counters().refused_at_once;
  connection.stream.socket().shutdown(asio::socket_base::shutdown_both, ec);
  return true;
}

void http_server::state::ServeConnection(http_connection& connection) {
  beast::error_code ignored;
  connection.stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  connections.insert(&connection);
  idle.Add(connection);
  Contain([&] { ServeRequests(connection); });
  idle.Remove(connection);
  connections.erase(&connection);
  evicting -= connection.closed == close_cause::kEvicted ? 1 : 0;
  --counters().open;
  WatchClosed(connection);
  connection.stream.socket().shutdown(asio::socket_base::shutdown_both,
                                      ignored);
}

bool http_server::state::Contain(const std::function<void()>& serve) {
  try {
    serve();
    return true;
  } catch (const std::exception& problem) {
    ++counters().failed;
    if (options.on_failed) {
      options.on_failed(problem.what());
    }
    return false;
  }
}

void http_server::state::WatchClosed(http_connection& connection) {
  if (stopping || !connection.closed ||
      connection.closed == close_cause::kEvicted ||
      watched.size() >= kMaxWatched) {
    return;
  }
  const time_point closed_at = steady_clock::now();
  const duration crossing_time = options.crossing_time;
  watched.insert(&connection);
  request_source(connection.stream.socket(), [closed_at, crossing_time] {
    return closed_at + crossing_time;
  }).Wait();
  watched.erase(&connection);
  beast::error_code ec;
  const std::size_t bytes = connection.stream.socket().available(ec);
  if (ec || bytes == 0) {
    return;
  }
  ++counters().crossed;
  if (options.on_crossed) {
    options.on_crossed({.cause = *connection.closed,
                        .idle = closed_at - connection.idle_since,
                        .after = steady_clock::now() - closed_at,
                        .bytes = bytes});
  }
}

void http_server::state::ServeRequests(http_connection& connection) {
  while (!stopping || HasArrived(connection)) {
    byte_hold hold(budget(), [&connection] {
      beast::error_code ignored;
      connection.stream.socket().close(ignored);
    });
    std::optional<http_request> request = ReadRequest(connection, hold);
    if (!request) {
      return;
    }
    if (connection.buffer.size() == 0) {
      // Far more connections are open than are being read.
      connection.buffer = beast::flat_buffer();
    }
    const keep_alive keep = handler.Handle(connection, *request);
    connection.used = true;
    if (keep == keep_alive::kNo) {
      if (HasArrived(connection)) {
        Linger(connection);
      }
      return;
    }
    idle.Add(connection);
  }
}

bool http_server::state::AwaitRequest(http_connection& connection) {
  if (connection.buffer.size() > 0) {
    return true;
  }
  // Nothing is taken from the socket yet, so that whoever wants the connection
  // closed sees what has arrived.
  const beast::error_code ec = connection.stream.socket().async_wait(
      asio::socket_base::wait_read, use_fiber);
  return !ec && !connection.closed;
}

std::optional<http_request> http_server::state::ReadRequest(
    http_connection& connection,
    byte_hold& hold) {
  const bool has_request = AwaitRequest(connection);
  counters().unread -= std::exchange(connection.unread, false) ? 1 : 0;
  if (!has_request) {
    return std::nullopt;
  }
  idle.Remove(connection);
  const http_limits limits = CurrentLimits();
  connection.idle_timeout = limits.idle_timeout;
  connection.promised_idle = duration::zero();
  request_parser parser;
  parser.header_limit(limits.max_header_bytes);
  parser.body_limit(limits.max_body_bytes);
  // Bounds what the parser must have whole: a head, the size and the extensions
  // of a chunk, a trailer.
  connection.buffer.max_size(std::max<std::size_t>(
      connection.buffer.size(), limits.max_header_bytes + kReadBytes));
  connection.buffer.reserve(limits.max_header_bytes);
  const time_point began = steady_clock::now();
  request_source source(connection.stream.socket(), [this, began] {
    return began + CurrentLimits().read_timeout;
  });
  beast::error_code ec;
  http::read_header(source, connection.buffer, parser, ec);
  if (ec) {
    ReportReadError(connection, ec);
    return std::nullopt;
  }
  if (beast::iequals(parser.get()[http::field::expect], "100-continue") &&
      !Continue(connection)) {
    return std::nullopt;
  }
  if (!ReadBody(connection, source, parser, hold)) {
    return std::nullopt;
  }
  if (!MayHaveBody(parser.get())) {
    ReportReadError(connection, http::error::bad_method);
    return std::nullopt;
  }
  hold.Complete();
  return parser.release();
}

bool http_server::state::Continue(http_connection& connection) {
  http::response<http::empty_body> response(http::status::continue_, 11);
  connection.stream.expires_after(connection.write_timeout);
  const auto written =
      http::async_write(connection.stream, response, use_fiber);
  connection.stream.expires_never();
  return !written.ec;
}

bool http_server::state::ReadBody(http_connection& connection,
                                  request_source& source,
                                  request_parser& parser,
                                  byte_hold& hold) {
  beast::error_code ec;
  while (!parser.is_done()) {
    http::read_some(source, connection.buffer, parser, ec);
    if (hold.given_up()) {
      // Closed for the sake of others.
      ++counters().given_up;
      return false;
    }
    if (ec) {
      ReportReadError(connection, ec);
      return false;
    }
    if (!hold.Resize(parser.get().body().size())) {
      ++counters().given_up;
      handler.OnBadRequest(connection, error_code::kNoResources);
      Linger(connection);
      return false;
    }
  }
  return true;
}

void http_server::state::Linger(http_connection& connection) {
  auto& socket = connection.stream.socket();
  beast::error_code ec;
  socket.shutdown(asio::socket_base::shutdown_send, ec);
  const time_point until = steady_clock::now() + kLingerTime;
  request_source source(socket, [until] { return until; });
  std::array<char, 16 * 1024> discarded;
  std::size_t bytes = 0;
  while (!ec && bytes < kMaxLingerBytes && steady_clock::now() < until) {
    bytes += source.read_some(asio::buffer(discarded), ec);
  }
}

void http_server::state::ReportReadError(http_connection& connection,
                                         const beast::error_code& ec) {
  counters().read_timeouts += ec == beast::error::timeout ? 1 : 0;
  if (!IsTooLarge(ec) && !IsMalformed(ec)) {
    return;
  }
  handler.OnBadRequest(connection, IsTooLarge(ec) ? error_code::kTooLarge
                                                  : error_code::kMalformed);
  Linger(connection);
}

}  // namespace burdocklock::net
