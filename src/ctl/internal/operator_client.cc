// Sends operator requests, follows redirects to the leader and converts error
// replies.
#include "ctl/operator_client.h"

#include <thread>
#include <utility>

#include "framework/fiber/fiber_thread.h"
#include "framework/net/http_client.h"

namespace burdocklock::ctl {

namespace {

namespace http = net::http;

constexpr unsigned kHttp11 = 11;
constexpr unsigned kUnauthorised = 401;
constexpr unsigned kTemporaryRedirect = 307;
// One from any control host to the leader, and one more if the leader changes.
constexpr int kMaxRedirects = 2;
constexpr unsigned kFirstErrorStatus = 400;

error MakeError(error_code code, const std::string& peer, std::string detail) {
  return error{.code = code,
               .step = "operator call",
               .peer = peer,
               .detail = std::move(detail)};
}

// Sends one request from a thread with a fiber scheduler and waits for the
// reply.
result<net::http_reply> FetchBlocking(const endpoint& peer,
                                      const net::http_request& request,
                                      std::chrono::milliseconds timeout) {
  boost::asio::io_context io{1};
  result<net::http_reply> reply = net::http_reply{};
  std::thread worker([&] {
    RunFiberThread(io, [&] { reply = net::Fetch(io, peer, request, timeout); });
  });
  worker.join();
  return reply;
}

// The "ip:port" of an absolute URL.
std::string HostAndPort(std::string_view url) {
  constexpr std::string_view kScheme = "http://";
  if (url.starts_with(kScheme)) {
    url.remove_prefix(kScheme.size());
  }
  return std::string(url.substr(0, url.find('/')));
}

result<nlohmann::ordered_json> ReadReply(const net::http_reply& reply,
                                         const std::string& address) {
  if (reply.status == kUnauthorised) {
    return MakeError(error_code::kUnauthorised, address,
                     "the operator token was not accepted");
  }
  nlohmann::ordered_json document =
      nlohmann::ordered_json::parse(reply.body, nullptr, false);
  if (reply.status >= kFirstErrorStatus || document.is_discarded()) {
    const std::string problem =
        document.is_object() ? document.value("error", std::string()) : "";
    return MakeError(error_code::kInternal, address,
                     "status " + std::to_string(reply.status) +
                         (problem.empty() ? "" : ": " + problem));
  }
  return document;
}

}  // namespace

operator_client::operator_client(std::string address,
                                 std::string token,
                                 std::chrono::milliseconds timeout)
    : address_(std::move(address)),
      token_(std::move(token)),
      timeout_(timeout) {}

result<nlohmann::ordered_json> operator_client::Get(
    const std::string& path) const {
  return Call(net::http_request(http::verb::get, path, kHttp11));
}

result<nlohmann::ordered_json> operator_client::Post(
    const std::string& path,
    const std::string& body) const {
  net::http_request request(http::verb::post, path, kHttp11);
  request.body() = body;
  return Call(std::move(request));
}

result<nlohmann::ordered_json> operator_client::Put(
    const std::string& path,
    const std::string& body) const {
  net::http_request request(http::verb::put, path, kHttp11);
  request.body() = body;
  return Call(std::move(request));
}

result<nlohmann::ordered_json> operator_client::Call(
    net::http_request request) const {
  std::string address = address_;
  request.set(http::field::authorization, "Bearer " + token_);
  for (int redirects = 0; redirects <= kMaxRedirects; ++redirects) {
    const std::optional<endpoint> peer = ParseEndpoint(address);
    if (!peer) {
      return MakeError(error_code::kInvalidArgument, address,
                       "not an address of the form ip:port");
    }
    request.set(http::field::host, address);
    const result<net::http_reply> reply =
        FetchBlocking(*peer, request, timeout_);
    if (!reply) {
      return reply.error();
    }
    if (reply.value().status != kTemporaryRedirect) {
      return ReadReply(reply.value(), address);
    }
    address = HostAndPort(reply.value().fields[http::field::location]);
  }
  return MakeError(error_code::kInternal, address, "too many redirects");
}

}  // namespace burdocklock::ctl
