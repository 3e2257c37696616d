// See the header.
#include "gateway/internal/response_writer.h"

#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include "framework/fiber/use_fiber.h"
#include "framework/net/write_buffers.h"
#include "gateway/internal/problem_document.h"

namespace burdocklock::gateway {

namespace {

namespace asio = net::asio;
namespace http = net::http;

constexpr unsigned kHttp11 = 11;
// Excludes hop-by-hop fields (RFC 9110, 7.6.1) and those that are set anew.
bool IsForwarded(http::field field) {
  switch (field) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_authenticate:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
      return false;
    default:
      return true;
  }
}

}  // namespace

response_writer::response_writer(net::http_connection& connection,
                                 const net::http_request& request,
                                 std::string request_name,
                                 bool keep_alive,
                                 const i_target_dialect& dialect)
    : connection_(connection),
      version_(request.version()),
      request_name_(std::move(request_name)),
      keep_alive_(keep_alive),
      dialect_(dialect) {}

net::keep_alive response_writer::keep_alive() const {
  return keep_alive_ && !failed_ ? net::keep_alive::kYes : net::keep_alive::kNo;
}

bool response_writer::Write(net::http_response& response) {
  SetRequestId(response);
  response.keep_alive(keep_alive_);
  PromiseIdle(response);
  started_ = true;
  return Check(connection_.Write(response));
}

void response_writer::PromiseIdle(http::fields& head) {
  if (keep_alive_) {
    connection_.PromiseIdle(head);
  }
}

void response_writer::SetRequestId(http::fields& fields) const {
  if (!request_name_.empty()) {
    fields.set(dialect_.request_id_field(), request_name_);
  }
}

bool response_writer::Check(bool ok) {
  failed_ |= !ok;
  return ok;
}

std::optional<head_permit> response_writer::TakeHeadPermit() {
  if (std::exchange(head_permit_taken_, true)) {
    return std::nullopt;
  }
  return head_permit();
}

bool response_writer::WriteResponse(head_permit,
                                    const net::http_response_head& head,
                                    std::string body) {
  net::http_response response(http::int_to_status(head.status), version_);
  response.result(head.status);
  CopyFields(head, response);
  response.body() = std::move(body);
  return Write(response);
}

void response_writer::CopyFields(const net::http_response_head& head,
                                 http::fields& fields) {
  for (const auto& field : head.fields) {
    if (IsForwarded(field.name())) {
      fields.insert(field.name_string(), field.value());
    }
  }
}

bool response_writer::BeginStream(head_permit,
                                  const net::http_response_head& head) {
  http::response<http::empty_body> response(http::status::ok, version_);
  CopyFields(head, response);
  response.set(http::field::cache_control, "no-cache");
  SetRequestId(response);
  if (version_ >= kHttp11) {
    response.chunked(true);
  } else {
    // HTTP/1.0 has no chunked encoding: closing the connection ends the body.
    keep_alive_ = false;
  }
  response.keep_alive(keep_alive_);
  PromiseIdle(response);
  started_ = true;
  stream_.emplace(stream_writer(*this));
  return Check(net::WriteHead(connection_, response));
}

stream_writer* response_writer::stream() {
  return stream_ ? &*stream_ : nullptr;
}

bool stream_writer::WriteEvents(std::string_view events) {
  return response_.WriteEvents(events);
}

bool stream_writer::End() {
  return response_.EndStream();
}

bool stream_writer::Truncate(const refusals::refusal& refusal,
                             const std::string& refusal_name) {
  return response_.TruncateStream(refusal, refusal_name);
}

bool response_writer::WriteEvents(std::string_view events) {
  const asio::const_buffer bytes(events.data(), events.size());
  return Check(version_ >= kHttp11
                   ? net::WriteBuffers(connection_, http::make_chunk(bytes))
                   : net::WriteBuffers(connection_, bytes));
}

bool response_writer::EndStream() {
  stream_.reset();
  return version_ < kHttp11 ||
         Check(net::WriteBuffers(connection_, http::make_chunk_last()));
}

bool response_writer::WriteProblem(head_permit,
                                   const refusals::refusal& refusal,
                                   const std::string& refusal_name) {
  net::http_response response(
      http::int_to_status(HttpStatus(refusal.reason, refusal.run)), version_);
  response.set(http::field::content_type, "application/problem+json");
  if (refusal.retry_after) {
    response.set(http::field::retry_after, RetryAfter(*refusal.retry_after));
  }
  if (refusal.reason == refusals::refusal_reason::kUnknownKey) {
    response.set(http::field::www_authenticate, "Bearer");
  }
  response.body() = FormatProblem(
      refusal, {.refusal = refusal_name, .request = request_name_});
  return Write(response);
}

std::string response_writer::RetryAfter(std::chrono::milliseconds wait) const {
  constexpr std::int64_t kMillisecondsPerSecond = 1000;
  if (dialect_.fractional_retry_after()) {
    std::string text = std::to_string(wait.count() % kMillisecondsPerSecond);
    text.insert(0, 3 - text.size(), '0');
    return std::to_string(wait.count() / kMillisecondsPerSecond) + "." + text;
  }
  // Rounded up, as an earlier retry would be refused again.
  return std::to_string((wait.count() + kMillisecondsPerSecond - 1) /
                        kMillisecondsPerSecond);
}

bool response_writer::TruncateStream(const refusals::refusal& refusal,
                                     const std::string& refusal_name) {
  stream_.reset();
  if (!dialect_.signals_truncation()) {
    keep_alive_ = false;
    return true;
  }
  const std::string event = "event: error\ndata: " +
                            FormatProblem(refusal, {.refusal = refusal_name,
                                                    .request = request_name_}) +
                            "\n\n";
  const bool written = WriteEvents(event);
  keep_alive_ = false;
  return written;
}

}  // namespace burdocklock::gateway
