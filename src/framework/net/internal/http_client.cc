// HTTP/1.1 client connection on a Beast stream: sends requests, reads response
// heads and bodies, and classifies errors.
#include "framework/net/http_client.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/outcome/success_failure.hpp>

#include "framework/fiber/use_fiber.h"
#include "framework/net/internal/checked_parser.h"
#include "framework/net/write_buffers.h"

namespace burdocklock::net {

namespace {

using response_parser = checked_parser<false, http::buffer_body>;

constexpr std::uint32_t kMaxHeadBytes = 64 * 1024;
constexpr std::size_t kReadBytes = 32 * 1024;
constexpr std::uint32_t kMaxReplyBytes = 64 * 1024 * 1024;
// The parser takes any three digits.
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;

error_code Classify(const beast::error_code& ec) {
  if (ec == beast::error::timeout) {
    return error_code::kTimeout;
  }
  if (ec == asio::error::operation_aborted ||
      ec == asio::error::bad_descriptor) {
    return error_code::kCancelled;
  }
  if (ec == asio::error::no_descriptors || ec == asio::error::no_memory ||
      ec == asio::error::no_buffer_space ||
      ec == boost::system::errc::too_many_files_open_in_system ||
      ec == boost::system::errc::address_not_available) {
    return error_code::kNoResources;
  }
  if (ec == http::error::body_limit || ec == http::error::header_limit ||
      ec == http::error::buffer_overflow) {
    return error_code::kTooLarge;
  }
  const auto& http_category =
      make_error_code(http::error::bad_method).category();
  if (ec.category() == http_category && ec != http::error::end_of_stream &&
      ec != http::error::partial_message) {
    return error_code::kMalformed;
  }
  return error_code::kConnectionClosed;
}

}  // namespace

struct http_client::state {
  explicit state(asio::io_context& context) : stream(context) {
    // Bounds what the parser must have whole: a head, the size and the
    // extensions of a chunk, a trailer.
    buffer.max_size(kMaxHeadBytes);
  }

  [[nodiscard]] error MakeError(const char* step,
                                const beast::error_code& ec) const {
    return error{.code = Classify(ec),
                 .step = step,
                 .peer = ToString(peer),
                 .detail = ec.message()};
  }

  tcp_stream stream;
  beast::flat_buffer buffer;
  std::optional<response_parser> parser;
  endpoint peer;
};

http_client::http_client(asio::io_context& context)
    : state_(std::make_unique<state>(context)) {}

http_client::~http_client() = default;

result<void> http_client::Connect(const endpoint& peer) {
  state_->peer = peer;
  const beast::error_code ec =
      state_->stream.async_connect(ToTcp(peer), use_fiber);
  if (ec) {
    error problem = state_->MakeError("connect", ec);
    if (problem.code == error_code::kConnectionClosed) {
      problem.code = error_code::kConnectionFailed;
    }
    return problem;
  }
  beast::error_code ignored;
  state_->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> http_client::Send(http_request& request) {
  state_->parser.reset();
  if (!MayHaveBody(request)) {
    return state_->MakeError("send request", http::error::bad_method);
  }
  request.prepare_payload();
  http::request_serializer<http::string_body> serializer(request);
  beast::error_code ec = WriteWhatFits(state_->stream, serializer);
  if (ec == asio::error::would_block) {
    ec = http::async_write(state_->stream, serializer, use_fiber).ec;
  }
  if (ec) {
    return state_->MakeError("send request", ec);
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<http_response_head> http_client::ReadHead(std::uint32_t max_body_bytes) {
  state_->parser.emplace();
  state_->parser->header_limit(kMaxHeadBytes);
  state_->parser->body_limit(max_body_bytes);
  const auto read = http::async_read_header(state_->stream, state_->buffer,
                                            *state_->parser, use_fiber);
  if (read.ec) {
    return state_->MakeError("read head", read.ec);
  }
  const unsigned status = state_->parser->get().result_int();
  if (status < kMinStatus || status > kMaxStatus) {
    return state_->MakeError("read head", http::error::bad_status);
  }
  return http_response_head{.status = status,
                            .fields = state_->parser->get().base()};
}

result<std::size_t> http_client::ReadSome(char* buffer, std::size_t size) {
  // Beast's composed read operation costs more than parsing a small part of the
  // body, so this function reads from the socket and calls the parser directly.
  response_parser& parser = *state_->parser;
  auto& body = parser.get().body();
  while (!parser.is_done()) {
    if (state_->buffer.size() == 0) {
      if (auto filled = FillBuffer(); !filled) {
        return filled.error();
      }
      continue;
    }
    body.data = buffer;
    body.size = size;
    body.more = true;
    beast::error_code ec;
    const std::size_t parsed = parser.put(state_->buffer.data(), ec);
    state_->buffer.consume(parsed);
    if (ec && ec != http::error::need_buffer && ec != http::error::need_more) {
      return state_->MakeError("read answer", ec);
    }
    const std::size_t received = size - body.size;
    if (received > 0) {
      return received;
    }
    const bool wants_more = ec == http::error::need_more || parsed == 0;
    if (!parser.is_done() && wants_more) {
      if (auto filled = FillBuffer(); !filled) {
        return filled.error();
      }
    }
  }
  return std::size_t{0};
}

result<void> http_client::FillBuffer() {
  // What is left in the buffer is an unfinished chunk header or trailer.
  const std::size_t room = kMaxHeadBytes - state_->buffer.size();
  if (room == 0) {
    return state_->MakeError("read answer", http::error::header_limit);
  }
  const auto read = state_->stream.async_read_some(
      state_->buffer.prepare(std::min(kReadBytes, room)), use_fiber);
  state_->buffer.commit(read.value);
  if (!read.ec) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  beast::error_code ec = read.ec;
  if (ec == asio::error::eof) {
    state_->parser->put_eof(ec);
  }
  if (ec) {
    return state_->MakeError("read answer", ec);
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

bool http_client::AtEnd() const {
  return state_->parser && state_->parser->is_done();
}

bool http_client::Reusable() const {
  return AtEnd() && state_->parser->get().keep_alive() &&
         state_->stream.socket().is_open() && state_->buffer.size() == 0;
}

std::optional<std::chrono::seconds> http_client::idle_limit() const {
  if (!state_->parser) {
    return std::nullopt;
  }
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view field = state_->parser->get()[http::field::keep_alive];
  const std::size_t at = field.find(kTimeout);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = field.substr(at + kTimeout.size());
  std::int64_t seconds = 0;
  const auto [rest, problem] =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return problem == std::errc() ? std::optional(std::chrono::seconds(seconds))
                                : std::nullopt;
}

bool http_client::IsQuiet() {
  auto& socket = state_->stream.socket();
  if (!socket.is_open()) {
    return false;
  }
  char byte = 0;
  const auto received =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void http_client::ExpiresAfter(duration timeout) {
  state_->stream.expires_after(timeout);
}

void http_client::ExpiresNever() {
  state_->stream.expires_never();
}

void http_client::Close() {
  state_->stream.close();
}

const endpoint& http_client::peer() const {
  return state_->peer;
}

result<http_reply> Fetch(asio::io_context& context,
                         const endpoint& peer,
                         http_request request,
                         duration timeout) {
  http_client client(context);
  client.ExpiresAfter(timeout);
  if (auto connected = client.Connect(peer); !connected) {
    return connected.error();
  }
  if (auto sent = client.Send(request); !sent) {
    return sent.error();
  }
  auto head = client.ReadHead(kMaxReplyBytes);
  if (!head) {
    return head.error();
  }
  http_reply reply{.status = head.value().status,
                   .fields = std::move(head.value().fields)};
  std::array<char, 16 * 1024> piece;
  while (!client.AtEnd()) {
    const auto read = client.ReadSome(piece.data(), piece.size());
    if (!read) {
      return read.error();
    }
    reply.body.append(piece.data(), read.value());
  }
  return reply;
}

}  // namespace burdocklock::net
