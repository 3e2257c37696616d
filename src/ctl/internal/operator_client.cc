// See the header.
#include "ctl/operator_client.h"

#include <chrono>
#include <thread>
#include <utility>

#include "framework/fiber/fiber_thread.h"
#include "framework/net/http_client.h"

namespace burdocklock::ctl {

namespace {

namespace http = net::http;

constexpr std::chrono::seconds kTimeout{10};
constexpr unsigned kUnauthorised = 401;
constexpr unsigned kFirstError = 400;

error MakeError(error_code code, const std::string& peer, std::string detail) {
  return error{.code = code,
               .step = "operator call",
               .peer = peer,
               .detail = std::move(detail)};
}

// Runs one exchange on a thread with a fiber scheduler.
result<net::http_reply> FetchBlocking(const endpoint& peer,
                                      const net::http_request& request) {
  boost::asio::io_context io{1};
  result<net::http_reply> reply = net::http_reply{};
  std::thread worker([&] {
    RunFiberThread(io,
                   [&] { reply = net::Fetch(io, peer, request, kTimeout); });
  });
  worker.join();
  return reply;
}

}  // namespace

operator_client::operator_client(std::string address, std::string token)
    : address_(std::move(address)), token_(std::move(token)) {}

result<nlohmann::ordered_json> operator_client::Get(
    const std::string& path) const {
  return Call(false, path);
}

result<nlohmann::ordered_json> operator_client::Post(
    const std::string& path) const {
  return Call(true, path);
}

result<nlohmann::ordered_json> operator_client::Call(
    bool post,
    const std::string& path) const {
  const std::optional<endpoint> peer = ParseEndpoint(address_);
  if (!peer) {
    return MakeError(error_code::kInvalidArgument, address_,
                     "not an address of the form ip:port");
  }
  net::http_request request(post ? http::verb::post : http::verb::get, path,
                            11);
  request.set(http::field::host, address_);
  request.set(http::field::authorization, "Bearer " + token_);
  const result<net::http_reply> reply = FetchBlocking(*peer, request);
  if (!reply) {
    return reply.error();
  }
  if (reply.value().status == kUnauthorised) {
    return MakeError(error_code::kUnauthorised, address_,
                     "the operator token was not accepted");
  }
  nlohmann::ordered_json document =
      nlohmann::ordered_json::parse(reply.value().body, nullptr, false);
  if (reply.value().status >= kFirstError || document.is_discarded()) {
    return MakeError(error_code::kInternal, address_,
                     "status " + std::to_string(reply.value().status));
  }
  return document;
}

}  // namespace burdocklock::ctl
